package memfs

import (
	"io/fs"
	"syscall"

	"gladepick/internal/vfs"
)

// mount implements vfs.FS by a disk until the disk's generation ends.
type mount struct {
	disk       *Disk
	generation int
}

// lock locks the disk's mutex. If the generation of the mount has ended, it fails with ErrPowerLost and locks nothing.
func (m *mount) lock() error {
	m.disk.mutex.Lock()
	if m.disk.generation != m.generation {
		m.disk.mutex.Unlock()
		return ErrPowerLost
	}
	return nil
}

// unlock unlocks the disk's mutex.
func (m *mount) unlock() { m.disk.mutex.Unlock() }

// lockUnstalled is like lock, but first waits until the disk is not stalled.
func (m *mount) lockUnstalled() error {
	for {
		if err := m.lock(); err != nil {
			return err
		}
		stalled := m.disk.stalled
		if stalled == nil {
			return nil
		}
		m.unlock()
		<-stalled
	}
}

func (m *mount) Create(name string) (vfs.File, error) {
	if err := m.lock(); err != nil {
		return nil, err
	}
	defer m.unlock()
	disk := m.disk
	if existing := disk.names[name]; existing != nil {
		existing.truncate(0)
		return &file{mount: m, inode: existing}, nil
	}
	created := &inode{}
	disk.names[name] = created
	disk.pendingChanges = append(disk.pendingChanges, nameChange{kind: nameCreated, inode: created, name: name})
	return &file{mount: m, inode: created}, nil
}

func (m *mount) Open(name string) (vfs.File, error) {
	if err := m.lock(); err != nil {
		return nil, err
	}
	defer m.unlock()
	opened := m.disk.names[name]
	if opened == nil {
		return nil, notExistError("open", name)
	}
	return &file{mount: m, inode: opened}, nil
}

func (m *mount) Rename(from, to string) error {
	if err := m.lock(); err != nil {
		return err
	}
	defer m.unlock()
	renamed := m.disk.names[from]
	if renamed == nil {
		return notExistError("rename", from)
	}
	m.change(nameChange{kind: nameRenamed, inode: renamed, name: to, from: from})
	return nil
}

func (m *mount) Remove(name string) error {
	if err := m.lock(); err != nil {
		return err
	}
	defer m.unlock()
	removed := m.disk.names[name]
	if removed == nil {
		return notExistError("remove", name)
	}
	m.change(nameChange{kind: nameRemoved, inode: removed, name: name})
	return nil
}

// change applies a change of a name, which is not durable until SyncDir.
func (m *mount) change(change nameChange) {
	change.apply(m.disk.names)
	m.disk.pendingChanges = append(m.disk.pendingChanges, change)
}

func (m *mount) List() ([]string, error) {
	if err := m.lock(); err != nil {
		return nil, err
	}
	defer m.unlock()
	names := make([]string, 0, len(m.disk.names))
	for name := range m.disk.names {
		names = append(names, name)
	}
	return names, nil
}

func (m *mount) SyncDir() error {
	if err := m.lockUnstalled(); err != nil {
		return err
	}
	defer m.unlock()
	for _, change := range m.disk.pendingChanges {
		change.apply(m.disk.durableNames)
	}
	m.disk.pendingChanges = nil
	return nil
}

// notExistError returns the error that a directory of the operating system returns for a missing file.
func notExistError(operation, name string) error {
	return &fs.PathError{Op: operation, Path: name, Err: syscall.ENOENT}
}
