package messagestore

import (
	"slices"
	"time"
)

// batchResult is the result of the call for a batch.
type batchResult struct {
	rejected         []int     // partitions whose records the backup rejected
	leaseRequestedAt time.Time // when the lease that the backup granted was requested; zero if it granted none
	err              error
}

// errorFor returns the error of the call, or errStaleEpoch if the backup rejected the record.
func (b *batchResult) errorFor(sent *queuedRecord) error {
	if b.err == nil && b.isRejected(sent) {
		return errStaleEpoch
	}
	return b.err
}

// isRejected reports whether the backup rejected a record for its epoch.
func (b *batchResult) isRejected(sent *queuedRecord) bool {
	return slices.Contains(b.rejected, sent.partition)
}

// handleResult handles the result of the call for a batch, record by record, and calls the records' done functions.
func (r *replicator) handleResult(batch []queuedRecord, result batchResult) {
	s := r.store
	s.mu.Lock()
	r.callStarted = time.Time{}
	for i := range batch {
		r.handleRecordResult(&batch[i], result)
	}
	s.mu.Unlock()
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(result.errorFor(&batch[i]))
		}
	}
}

// handleRecordResult handles the result for one record. A rejection under the current epoch fences this store, as the
// backup knows a newer one. One under a former epoch of this primary says nothing against the backup. After a rejection or
// an error the backup is resynced. The caller must hold r.store.mu.
func (r *replicator) handleRecordResult(sent *queuedRecord, result batchResult) {
	s := r.store
	p := s.partition(sent.partition)
	isCurrent := p.isPrimary && sent.epoch == p.epoch
	isRejected := result.isRejected(sent)
	if result.err == nil && !isRejected {
		r.handleConfirmation(p, sent, isCurrent, result.leaseRequestedAt)
		return
	}
	if isRejected && isCurrent {
		s.fencePartition(p)
	}
	if !p.isPrimary || p.view.IndexOf(r.replica.Store) <= 0 {
		return
	}
	if sent.write != nil {
		delete(sent.write.sentTo, r.replica.DiskID)
	}
	if isRejected && !isCurrent {
		s.needResync(p, r.replica)
		return
	}
	s.backupFailed(p, r.replica)
}

// handleConfirmation records that the backup has synced a record, and commits the write that waits for it if that was
// the last confirmation. A confirmation does not count if the backup was not synced in a later epoch. The caller must
// hold r.store.mu.
func (r *replicator) handleConfirmation(p *partition, sent *queuedRecord, isCurrent bool, leaseRequestedAt time.Time) {
	isOutdated := sent.epoch < p.unsyncedSince[r.replica.DiskID]
	if sent.write != nil && !isOutdated {
		sent.write.syncedOn[r.replica.DiskID] = true
		r.store.commitIfSynced(p, sent.write)
	}
	if isCurrent && !leaseRequestedAt.IsZero() {
		r.store.fence(p.id).recordGrant(r.replica.DiskID, leaseRequestedAt)
	}
}
