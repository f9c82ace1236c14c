package wal

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// ErrPowerLost is returned by operations on a Memory through a file or mount from before a power loss or crash.
var ErrPowerLost = errors.New("journal: simulated disk lost power")

// Memory is a simulated disk with one directory, for tests. It models what a crash may do to data that is not synced:
//
//   - After PowerLoss each write and truncation without a later Sync of its file is present, missing or torn.
//   - After PowerLoss each creation, renaming and removal of a name without a later SyncDir is kept or lost, each by
//     itself. A new file's name also persists through the file's own Sync.
//
// Its methods are safe for concurrent use, and block only in ways that a testing/synctest bubble understands.
type Memory struct {
	mutex      sync.Mutex
	random     *rand.Rand
	generation int                     // grows with each loss of power or crash; older files and mounts are dead
	names      map[string]*memoryInode // as the programs see them
	durable    map[string]*memoryInode // as a power loss leaves them at worst
	changes    []nameChange            // not durable, in order
	full       bool
	stalled    chan struct{} // closed on release or at a crash; nil while the disk answers
	syncDelay  time.Duration
	syncs      int
}

// changeKind tells what happened to a name.
type changeKind int

const (
	nameCreated changeKind = iota
	nameRenamed
	nameRemoved
)

// nameChange is a change of a name that is not durable yet.
type nameChange struct {
	kind  changeKind
	inode *memoryInode
	name  string // the name created or removed, or the new name
	from  string // the old name of a renamed file
}

// NewMemory returns an empty simulated disk. The seed decides what its losses of power destroy.
func NewMemory(seed uint64) *Memory {
	return &Memory{
		random:  rand.New(rand.NewPCG(seed, seed)),
		names:   make(map[string]*memoryInode),
		durable: make(map[string]*memoryInode),
	}
}

// PowerLoss cuts the power: what is not durable may be lost, and all open files fail with ErrPowerLost from now on.
func (m *Memory) PowerLoss() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endGeneration()
	for _, change := range m.changes {
		if m.random.IntN(2) == 0 {
			change.apply(m.durable)
		}
	}
	m.changes = nil
	clear(m.names)
	for name, inode := range m.durable {
		inode.losePower(m.random)
		m.names[name] = inode
	}
}

// Crash ends the programs that use the disk, while the machine runs on: nothing is lost, and all open files fail with
// ErrPowerLost from now on.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endGeneration()
}

// Wipe replaces the disk by an empty one. All open files fail with ErrPowerLost from now on.
func (m *Memory) Wipe() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.endGeneration()
	clear(m.names)
	clear(m.durable)
	m.changes = nil
}

// endGeneration kills all open files, and frees the operations that hang.
func (m *Memory) endGeneration() {
	m.generation++
	if m.stalled != nil {
		close(m.stalled)
		m.stalled = make(chan struct{})
	}
}

// SetFull decides whether writes fail with ENOSPC, after a part of their bytes.
func (m *Memory) SetFull(full bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.full = full
}

// SetStalled decides whether writes and syncs hang. SetStalled(false) releases those that do.
func (m *Memory) SetStalled(stalled bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if stalled && m.stalled == nil {
		m.stalled = make(chan struct{})
	}
	if !stalled && m.stalled != nil {
		close(m.stalled)
		m.stalled = nil
	}
}

// SetSyncDelay sets how long each sync of a file takes.
func (m *Memory) SetSyncDelay(delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.syncDelay = delay
}

// Syncs returns how many syncs of files have been carried out.
func (m *Memory) Syncs() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.syncs
}

// Mount returns the disk as one run of a program sees it: it fails for good with ErrPowerLost at the next PowerLoss,
// Crash or Wipe. The FS methods of Memory itself keep working.
func (m *Memory) Mount() FS {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return &memoryMount{memory: m, generation: m.generation}
}

// Create implements FS.
func (m *Memory) Create(name string) (File, error) { return m.Mount().Create(name) }

// Open implements FS.
func (m *Memory) Open(name string) (File, error) { return m.Mount().Open(name) }

// Rename implements FS.
func (m *Memory) Rename(from, to string) error { return m.Mount().Rename(from, to) }

// Remove implements FS.
func (m *Memory) Remove(name string) error { return m.Mount().Remove(name) }

// List implements FS.
func (m *Memory) List() ([]string, error) { return m.Mount().List() }

// SyncDir implements FS.
func (m *Memory) SyncDir() error { return m.Mount().SyncDir() }

// memoryMount is the disk in one generation.
type memoryMount struct {
	memory     *Memory
	generation int
}

// enter locks the disk; it fails where the generation has ended.
func (d *memoryMount) enter() error {
	d.memory.mutex.Lock()
	if d.memory.generation != d.generation {
		d.memory.mutex.Unlock()
		return ErrPowerLost
	}
	return nil
}

func (d *memoryMount) leave() { d.memory.mutex.Unlock() }

// awaitAnswer is enter for operations that hang while the disk is stalled.
func (d *memoryMount) awaitAnswer() error {
	for {
		if err := d.enter(); err != nil {
			return err
		}
		stalled := d.memory.stalled
		if stalled == nil {
			return nil
		}
		d.leave()
		<-stalled
	}
}

func (d *memoryMount) Create(name string) (File, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.leave()
	m := d.memory
	if inode := m.names[name]; inode != nil {
		inode.truncate(0)
		return &memoryFile{mount: d, inode: inode}, nil
	}
	inode := &memoryInode{}
	m.names[name] = inode
	m.changes = append(m.changes, nameChange{kind: nameCreated, inode: inode, name: name})
	return &memoryFile{mount: d, inode: inode}, nil
}

func (d *memoryMount) Open(name string) (File, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.leave()
	inode := d.memory.names[name]
	if inode == nil {
		return nil, notExist("open", name)
	}
	return &memoryFile{mount: d, inode: inode}, nil
}

func (d *memoryMount) Rename(from, to string) error {
	if err := d.enter(); err != nil {
		return err
	}
	defer d.leave()
	inode := d.memory.names[from]
	if inode == nil {
		return notExist("rename", from)
	}
	d.change(nameChange{kind: nameRenamed, inode: inode, name: to, from: from})
	return nil
}

func (d *memoryMount) Remove(name string) error {
	if err := d.enter(); err != nil {
		return err
	}
	defer d.leave()
	inode := d.memory.names[name]
	if inode == nil {
		return notExist("remove", name)
	}
	d.change(nameChange{kind: nameRemoved, inode: inode, name: name})
	return nil
}

func (d *memoryMount) change(change nameChange) {
	change.apply(d.memory.names)
	d.memory.changes = append(d.memory.changes, change)
}

func (d *memoryMount) List() ([]string, error) {
	if err := d.enter(); err != nil {
		return nil, err
	}
	defer d.leave()
	names := make([]string, 0, len(d.memory.names))
	for name := range d.memory.names {
		names = append(names, name)
	}
	return names, nil
}

func (d *memoryMount) SyncDir() error {
	if err := d.awaitAnswer(); err != nil {
		return err
	}
	defer d.leave()
	for _, change := range d.memory.changes {
		change.apply(d.memory.durable)
	}
	d.memory.changes = nil
	return nil
}

// apply carries the change out in a table of names.
func (c nameChange) apply(names map[string]*memoryInode) {
	switch c.kind {
	case nameCreated:
		names[c.name] = c.inode
	case nameRenamed:
		if names[c.from] == c.inode {
			delete(names, c.from)
		}
		names[c.name] = c.inode
	case nameRemoved:
		if names[c.name] == c.inode {
			delete(names, c.name)
		}
	}
}

func notExist(operation, name string) error {
	return &fs.PathError{Op: operation, Path: name, Err: syscall.ENOENT}
}
