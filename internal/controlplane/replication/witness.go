package replication

import (
	"encoding/json"
	"errors"
	"io/fs"
	"sync/atomic"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// witnessFile is the name of the file that holds the witness's record.
const witnessFile = "witness"

// witnessRecord is the durable state of a witness. Records are immutable.
type witnessRecord struct {
	Promised   uint64 `json:"promised"`   // the highest epoch promised
	PromisedTo string `json:"promisedTo"` // the disk id of the process it was promised to
	Accepted   *View  `json:"accepted,omitempty"`
}

// allows reports whether the record permits a process to act in an epoch.
func (r *witnessRecord) allows(epoch uint64, diskID string) bool {
	return epoch > r.Promised || (epoch == r.Promised && diskID == r.PromisedTo)
}

// acceptedEpoch returns the epoch of the accepted view, or 0.
func (r *witnessRecord) acceptedEpoch() uint64 {
	if r.Accepted == nil {
		return 0
	}
	return r.Accepted.Epoch
}

// witness votes for its process and keeps its record on the disk. A new record is durable before it is visible to
// readers.
type witness struct {
	fs      vfs.FS
	writing semaphore // held while the file is written
	current atomic.Pointer[witnessRecord]
}

// openWitness loads the record from the disk. On a new disk the record is empty.
func openWitness(fileSystem vfs.FS) (*witness, error) {
	w := &witness{fs: fileSystem, writing: newSemaphore()}
	record := &witnessRecord{}
	data, err := wal.LoadFile(fileSystem, witnessFile)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, trace.Wrap(err)
	default:
		if err := json.Unmarshal(data, record); err != nil {
			return nil, trace.Wrap(err, "reading the witness's record")
		}
	}
	w.current.Store(record)
	return w, nil
}

// record returns the current record.
func (w *witness) record() *witnessRecord { return w.current.Load() }

// promise promises an epoch to a process. It reports false if a higher epoch is promised, or the same one to another
// process.
func (w *witness) promise(epoch uint64, diskID string) (bool, error) {
	w.writing.acquire()
	defer w.writing.release()
	record := w.record()
	if !record.allows(epoch, diskID) {
		return false, nil
	}
	if epoch == record.Promised {
		return true, nil
	}
	return true, w.save(&witnessRecord{Promised: epoch, PromisedTo: diskID, Accepted: record.Accepted})
}

// accept accepts a view. It reports false if a higher epoch is promised, or the same one to another process.
func (w *witness) accept(view View) (bool, error) {
	w.writing.acquire()
	defer w.writing.release()
	record := w.record()
	if !record.allows(view.Epoch, view.Primary) {
		return false, nil
	}
	if record.acceptedEpoch() == view.Epoch {
		return true, nil
	}
	return true, w.save(&witnessRecord{Promised: view.Epoch, PromisedTo: view.Primary, Accepted: &view})
}

// save writes a record and makes it the current one. The caller holds the semaphore.
func (w *witness) save(record *witnessRecord) error {
	data, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := wal.SaveFile(w.fs, witnessFile, data); err != nil {
		return trace.Wrap(err)
	}
	w.current.Store(record)
	return nil
}
