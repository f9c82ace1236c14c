// Package memfs is a simulated disk for tests, with faults: loss of power, crash, full, stalled, slow.
//
// A Disk holds one flat directory in memory and implements vfs.FS. It keeps what programs see apart from what is durable,
// so that PowerLoss can drop, keep or tear each change that no sync covers. The seed of New fixes the
// random draws, and so what becomes of each file.
//
// The package starts no goroutine. One mutex for each Disk guards all of its state; no method holds it while it waits for a
// stalled or slow disk. Start reading at Disk; inode.go has what becomes of a file's contents, names.go of its name.
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

// ErrPowerLost is returned by operations on a Disk through a file or mount from before a power loss or crash.
var ErrPowerLost = errors.New("memfs: simulated disk lost power")

// Disk is a simulated disk with one directory, for tests. It models what a crash may do to data that is not synced:
//
//   - After PowerLoss each write and truncation without a later Sync of its file is present, missing or torn.
//   - After PowerLoss each creation, renaming and removal of a name without a later SyncDir is kept or lost, each by
//     itself. A new file's name also persists through the file's own Sync.
//
// Its methods are safe for concurrent use, and block only in ways that a testing/synctest bubble understands.
type Disk struct {
	mutex      sync.Mutex
	random     *rand.Rand
	generation int               // grows with each loss of power or crash; older files and mounts are dead
	names      map[string]*inode // as the programs see them
	durable    map[string]*inode // as a power loss leaves them at worst
	changes    []nameChange      // not durable, in order
	full       bool
	stalled    chan struct{} // closed on release or at a crash; nil while the disk answers
	syncDelay  time.Duration
	syncs      int
}

// New returns an empty simulated disk. The seed decides what its losses of power destroy.
func New(seed uint64) *Disk {
	return &Disk{
		random:  rand.New(rand.NewPCG(seed, seed)),
		names:   make(map[string]*inode),
		durable: make(map[string]*inode),
	}
}

// PowerLoss cuts the power: what is not durable may be lost, and all open files fail with ErrPowerLost from now on.
func (d *Disk) PowerLoss() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endGeneration()
	for _, change := range d.changes {
		if d.random.IntN(2) == 0 {
			change.apply(d.durable)
		}
	}
	d.changes = nil
	clear(d.names)
	for _, name := range slices.Sorted(maps.Keys(d.durable)) { // in order, as each draws
		survivor := d.durable[name]
		survivor.losePower(d.random)
		d.names[name] = survivor
	}
}

// Crash ends the programs that use the disk, while the machine runs on: nothing is lost, and all open files fail with
// ErrPowerLost from now on.
func (d *Disk) Crash() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endGeneration()
}

// Wipe replaces the disk by an empty one. All open files fail with ErrPowerLost from now on.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.endGeneration()
	clear(d.names)
	clear(d.durable)
	d.changes = nil
}

// endGeneration kills all open files, and frees the operations that hang.
func (d *Disk) endGeneration() {
	d.generation++
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = make(chan struct{})
	}
}

// SetFull decides whether writes fail with ENOSPC, after a part of their bytes.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// SetStalled decides whether writes and syncs hang. SetStalled(false) releases those that do.
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

// SetSyncDelay sets how long each sync of a file takes.
func (d *Disk) SetSyncDelay(delay time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.syncDelay = delay
}

// Syncs returns how many syncs of files have been carried out.
func (d *Disk) Syncs() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.syncs
}

// Mount returns the disk as one run of a program sees it: it fails for good with ErrPowerLost at the next PowerLoss,
// Crash or Wipe. The methods by which Disk itself implements
// vfs.FS keep working.
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
