package memfs

import (
	"io/fs"
	"syscall"

	"gladepick/internal/vfs"
)

// mount implements vfs.FS by the disk in one generation.
type mount struct {
	disk       *Disk
	generation int
}

// enter locks the disk; it fails where the generation has ended.
func (m *mount) enter() error {
	m.disk.mutex.Lock()
	if m.disk.generation != m.generation {
		m.disk.mutex.Unlock()
		return ErrPowerLost
	}
	return nil
}

// leave unlocks the disk.
func (m *mount) leave() { m.disk.mutex.Unlock() }

// awaitAnswer is enter for operations that hang while the disk is stalled.
func (m *mount) awaitAnswer() error {
	for {
		if err := m.enter(); err != nil {
			return err
		}
		stalled := m.disk.stalled
		if stalled == nil {
			return nil
		}
		m.leave()
		<-stalled
	}
}

func (m *mount) Create(name string) (vfs.File, error) {
	if err := m.enter(); err != nil {
		return nil, err
	}
	defer m.leave()
	disk := m.disk
	if existing := disk.names[name]; existing != nil {
		existing.truncate(0)
		return &file{mount: m, inode: existing}, nil
	}
	created := &inode{}
	disk.names[name] = created
	disk.changes = append(disk.changes, nameChange{kind: nameCreated, inode: created, name: name})
	return &file{mount: m, inode: created}, nil
}

func (m *mount) Open(name string) (vfs.File, error) {
	if err := m.enter(); err != nil {
		return nil, err
	}
	defer m.leave()
	opened := m.disk.names[name]
	if opened == nil {
		return nil, notExist("open", name)
	}
	return &file{mount: m, inode: opened}, nil
}

func (m *mount) Rename(from, to string) error {
	if err := m.enter(); err != nil {
		return err
	}
	defer m.leave()
	renamed := m.disk.names[from]
	if renamed == nil {
		return notExist("rename", from)
	}
	m.change(nameChange{kind: nameRenamed, inode: renamed, name: to, from: from})
	return nil
}

func (m *mount) Remove(name string) error {
	if err := m.enter(); err != nil {
		return err
	}
	defer m.leave()
	removed := m.disk.names[name]
	if removed == nil {
		return notExist("remove", name)
	}
	m.change(nameChange{kind: nameRemoved, inode: removed, name: name})
	return nil
}

// change changes a name, which is not durable yet.
func (m *mount) change(change nameChange) {
	change.apply(m.disk.names)
	m.disk.changes = append(m.disk.changes, change)
}

func (m *mount) List() ([]string, error) {
	if err := m.enter(); err != nil {
		return nil, err
	}
	defer m.leave()
	names := make([]string, 0, len(m.disk.names))
	for name := range m.disk.names {
		names = append(names, name)
	}
	return names, nil
}

func (m *mount) SyncDir() error {
	if err := m.awaitAnswer(); err != nil {
		return err
	}
	defer m.leave()
	for _, change := range m.disk.changes {
		change.apply(m.disk.durable)
	}
	m.disk.changes = nil
	return nil
}

// notExist returns the error of a real directory where a file is missing.
func notExist(operation, name string) error {
	return &fs.PathError{Op: operation, Path: name, Err: syscall.ENOENT}
}
