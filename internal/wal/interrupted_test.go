package wal

import "gladepick/internal/vfs"

// interruptedFS simulates a crash or a power loss at a chosen step. It counts the changes of the file system and calls
// interrupt just before one of them.
type interruptedFS struct {
	vfs.FS
	interrupt func()
	remaining int // number of changes before the interrupt
}

func (i *interruptedFS) step() {
	if i.remaining == 0 {
		i.interrupt()
	}
	i.remaining--
}

func (i *interruptedFS) Create(name string) (vfs.File, error) {
	i.step()
	file, err := i.FS.Create(name)
	return &interruptedFile{File: file, fs: i}, err
}

func (i *interruptedFS) Open(name string) (vfs.File, error) {
	file, err := i.FS.Open(name)
	return &interruptedFile{File: file, fs: i}, err
}

func (i *interruptedFS) Rename(from, to string) error {
	i.step()
	return i.FS.Rename(from, to)
}

func (i *interruptedFS) Remove(name string) error {
	i.step()
	return i.FS.Remove(name)
}

func (i *interruptedFS) SyncDir() error {
	i.step()
	return i.FS.SyncDir()
}

type interruptedFile struct {
	vfs.File
	fs *interruptedFS
}

func (f *interruptedFile) WriteAt(data []byte, offset int64) (int, error) {
	f.fs.step()
	return f.File.WriteAt(data, offset)
}

func (f *interruptedFile) Truncate(size int64) error {
	f.fs.step()
	return f.File.Truncate(size)
}

func (f *interruptedFile) Sync() error {
	f.fs.step()
	return f.File.Sync()
}
