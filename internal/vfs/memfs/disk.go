// Package memfs is a simulated disk for tests. It can lose its power, crash, be full, stall or be slow.
//
// A Disk holds one flat directory in memory and implements vfs.FS. It separates the state that programs see from the
// durable state, so that PowerLoss can keep, drop or tear each change that was not synced. The seed of New determines
// the random draws, and so the state of each file after a power loss.
//
// The package starts no goroutine. The mutex of a Disk guards all of its state. No method holds it while it waits for a
// stalled or slow disk. Start reading at Disk; inode.go has the changes of a file's contents, and names.go those of its
// name.
package memfs

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gladepick/internal/vfs"
)

// ErrPowerLost is returned by operations through a file or mount that was opened before the latest PowerLoss, Crash or
// Wipe.
var ErrPowerLost = errors.New("memfs: simulated disk lost power")

// Disk is a simulated disk with one directory, for tests. It models the effects of a power loss on data that was not
// synced:
//
//   - After PowerLoss, each write and truncation without a later Sync of its file is present, missing, torn or partly
//     replaced by zeros.
//   - After PowerLoss, each creation, renaming and removal of a name without a later SyncDir is kept or lost,
//     independently of the others. The Sync of a new file also makes the creation of its name durable.
//
// Its methods are safe for concurrent use. They block only on operations that are durably blocking in testing/synctest.
type Disk struct {
	mutex          sync.Mutex
	random         *rand.Rand
	generation     int               // increases with each PowerLoss, Crash and Wipe; older files and mounts fail
	names          map[string]*inode // names that programs see
	durableNames   map[string]*inode // names without the changes that are not durable
	pendingChanges []nameChange      // changes of names that are not durable, in order
	full           bool
	stalled        chan struct{} // closed when the stall or the generation ends; nil while the disk is not stalled
	syncDelay      time.Duration
	syncs          int // number of completed syncs of files
}

// New returns an empty simulated disk. The seed determines what its power losses destroy.
func New(seed uint64) *Disk {
	return &Disk{
		random:       rand.New(rand.NewPCG(seed, seed)),
		names:        make(map[string]*inode),
		durableNames: make(map[string]*inode),
	}
}

// PowerLoss simulates a power loss. Changes that are not durable may be lost, and all open files and mounts fail with
// ErrPowerLost afterwards.
func (d *Disk) PowerLoss() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endGeneration()
	for _, change := range d.pendingChanges {
		if d.random.IntN(2) == 0 {
			change.apply(d.durableNames)
		}
	}
	d.pendingChanges = nil
	clear(d.names)
	for _, name := range slices.Sorted(maps.Keys(d.durableNames)) { // sorted, so that the random draws are reproducible
		survivor := d.durableNames[name]
		survivor.losePower(d.random)
		d.names[name] = survivor
	}
}

// Crash simulates a crash of the programs that use the disk, while the machine continues to run. No data is lost, and
// all open files and mounts fail with ErrPowerLost afterwards.
func (d *Disk) Crash() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endGeneration()
}

// Wipe removes all files. All open files and mounts fail with ErrPowerLost afterwards.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endGeneration()
	clear(d.names)
	clear(d.durableNames)
	d.pendingChanges = nil
}

// endGeneration invalidates all open files and mounts, and wakes the operations that wait for a stalled disk. The
// caller holds the mutex.
func (d *Disk) endGeneration() {
	d.generation++
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = make(chan struct{})
	}
}

// SetFull sets whether the disk is full. On a full disk, a write writes a random part of its bytes and fails with
// ENOSPC.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// SetStalled sets whether writes and syncs block. SetStalled(false) unblocks those that wait.
func (d *Disk) SetStalled(stalled bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if stalled && d.stalled == nil {
		d.stalled = make(chan struct{})
	}
	if !stalled && d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

// SetSyncDelay sets the duration of each sync of a file.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncDelay = delay
}

// Syncs returns the number of completed syncs of files.
func (d *Disk) Syncs() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.syncs
}

// Mount returns the disk as one run of a program sees it. After the next PowerLoss, Crash or Wipe, all operations on
// the mount and its files, except File.Close, fail with ErrPowerLost. The methods by which Disk itself implements
// vfs.FS continue to work.
func (d *Disk) Mount() vfs.FS {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &mount{disk: d, generation: d.generation}
}

// Create implements vfs.FS.
func (d *Disk) Create(name string) (vfs.File, error) { return d.Mount().Create(name) }

// Open implements vfs.FS.
func (d *Disk) Open(name string) (vfs.File, error) { return d.Mount().Open(name) }

// Rename implements vfs.FS.
func (d *Disk) Rename(from, to string) error { return d.Mount().Rename(from, to) }

// Remove implements vfs.FS.
func (d *Disk) Remove(name string) error { return d.Mount().Remove(name) }

// List implements vfs.FS.
func (d *Disk) List() ([]string, error) { return d.Mount().List() }

// SyncDir implements vfs.FS.
func (d *Disk) SyncDir() error { return d.Mount().SyncDir() }
