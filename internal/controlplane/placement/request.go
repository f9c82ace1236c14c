package placement

import (
	"errors"
	"fmt"
	"slices"

	"gladepick/internal/cluster"
)

// Sentinel errors that RequestError.Kind holds.
var (
	// ErrUnknownPartition means that there is no such partition.
	ErrUnknownPartition = errors.New("placement: unknown partition")
	// ErrConflict means that the request does not fit the partition's current view.
	ErrConflict = errors.New("placement: conflict with the current view")
	// ErrUnavailable means that the request cannot be granted now. The caller may repeat it.
	ErrUnavailable = errors.New("placement: unavailable at present")
)

// RequestError is the reason why a partition primary's request was not granted.
type RequestError struct {
	Kind    error  // one of the sentinel errors above
	Message string // for the log of the partition's primary
}

// Error implements error.
func (e *RequestError) Error() string { return e.Message }

// Unwrap returns the kind, so that errors.Is matches the sentinel errors.
func (e *RequestError) Unwrap() error { return e.Kind }

// viewChange applies a part of a primary's request to a copy of the partition's view.
type viewChange func(*cluster.Partition, *cluster.PartitionRequest) error

// ApplyRequest applies a request of a partition's primary to its replica group. If it fails, it returns a *RequestError
// and changes nothing.
func (b *Builder) ApplyRequest(request *cluster.PartitionRequest) error {
	return b.applyChanges(request, b.applySynced, b.applyDrop, b.applyHandover, b.applyRenewal)
}

// SuspectBackup applies a request to drop a backup whose store still responds to the control plane. Unlike
// ApplyRequest, it keeps a synced backup until another one is synced in its place. If the backup were dropped at once,
// the primary would hold the only complete replica although a second disk has all messages.
func (b *Builder) SuspectBackup(request *cluster.PartitionRequest) error {
	return b.applyChanges(request, b.applySuspicion)
}

// applyChanges applies all changes to one partition's view, or none of them.
func (b *Builder) applyChanges(request *cluster.PartitionRequest, changes ...viewChange) error {
	if request.Partition < 0 || request.Partition >= len(b.partitions) {
		return &RequestError{Kind: ErrUnknownPartition, Message: fmt.Sprintf("no partition %d", request.Partition)}
	}
	partition := b.partitions[request.Partition]
	primary, found := partition.Primary()
	if !found || partition.Epoch != request.Epoch || primary.Store != request.Store {
		return &RequestError{Kind: ErrConflict, Message: "another view is the current one"}
	}
	partition.Replicas = slices.Clone(partition.Replicas)
	for _, change := range changes {
		if err := change(&partition, request); err != nil {
			return err
		}
	}
	b.setPartition(request.Partition, partition)
	return nil
}

// applySynced marks a backup as synced. The replicas stay the same, and so does the epoch. A primary that collects
// messages asks for itself once it has those of all other replicas; this begins a new epoch.
func (b *Builder) applySynced(partition *cluster.Partition, request *cluster.PartitionRequest) error {
	if request.Synced == "" {
		return nil
	}
	position := partition.IndexOf(request.Synced)
	if position < 0 {
		return &RequestError{Kind: ErrConflict, Message: request.Synced + " is no replica"}
	}
	if partition.Collecting() {
		if position != 0 {
			return &RequestError{Kind: ErrConflict, Message: "the primary collects messages"}
		}
		partition.Epoch++
	}
	partition.Replicas[position].Synced = true
	partition.Replicas[position].Suspected = false
	return nil
}

// applySuspicion marks a synced backup as suspected. The repair that follows adds the replica that is to replace it.
// The backup is dropped at once if enough other replicas are synced, if it is down, or if it is not synced and
// therefore no safeguard against a loss of the primary.
func (b *Builder) applySuspicion(partition *cluster.Partition, request *cluster.PartitionRequest) error {
	position := partition.IndexOf(request.Drop)
	if position <= 0 || partition.Collecting() {
		return b.applyDrop(partition, request)
	}
	others := slices.Delete(slices.Clone(partition.Replicas), position, position+1)
	suspected := &partition.Replicas[position]
	if !suspected.Synced || !b.alive(*suspected) || b.syncedReplicas(others) >= b.ReplicationFactor {
		return b.applyDrop(partition, request)
	}
	suspected.Suspected = true
	return nil
}

// applyDrop removes a backup that does not answer its primary, and replaces it if too few replicas would remain.
func (b *Builder) applyDrop(partition *cluster.Partition, request *cluster.PartitionRequest) error {
	if request.Drop == "" {
		return nil
	}
	position := partition.IndexOf(request.Drop)
	if position <= 0 {
		return &RequestError{Kind: ErrConflict, Message: request.Drop + " is no backup"}
	}
	if b.isExpectedBack(partition.Replicas[position]) {
		return &RequestError{Kind: ErrUnavailable, Message: request.Drop + " is expected back"}
	}
	if partition.Collecting() {
		return b.restartRecovery(partition, request.Drop)
	}
	if !b.dropBackup(partition, position) {
		return &RequestError{Kind: ErrUnavailable, Message: "no store can take the place of " + request.Drop}
	}
	partition.Epoch++
	return nil
}

// applyRenewal begins a new epoch with the same replicas.
func (b *Builder) applyRenewal(partition *cluster.Partition, request *cluster.PartitionRequest) error {
	if request.Renew {
		partition.Epoch++
	}
	return nil
}

// applyHandover makes another replica the primary. The former primary becomes the last backup, unless its store is
// retiring and enough other replicas are synced.
func (b *Builder) applyHandover(partition *cluster.Partition, request *cluster.PartitionRequest) error {
	if !request.Handover {
		return nil
	}
	position := b.successor(partition, request.Ready)
	if position < 0 || b.store(partition.Replicas[position].Store).State != cluster.StoreActive {
		return &RequestError{Kind: ErrUnavailable, Message: "no other synced replica is alive"}
	}
	former, successor := partition.Replicas[0], partition.Replicas[position]
	successor.Suspected = false
	backups := slices.Delete(slices.Clone(partition.Replicas), position, position+1)[1:]
	partition.Replicas = append([]cluster.Replica{successor}, backups...)
	if !b.retiring(former) || b.syncedReplicas(partition.Replicas) < b.ReplicationFactor {
		partition.Replicas = append(partition.Replicas, former)
	}
	partition.PreferredPrimary = ""
	partition.Epoch++
	return nil
}
