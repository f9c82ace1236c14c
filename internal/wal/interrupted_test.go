package wal

import "gladepick/internal/vfs"

// interruptedFS simulates a crash or a power loss at a chosen step. It counts the changes of the file system and calls
// interrupt just before one of them.
type interruptedFS struct {
	vfs.FS
	interrupt func()
	remaining int // number of changes before the interrupt
}

func (f *interruptedFS) step() {
	if f.remaining == 0 {
		f.interrupt()
	}
	f.remaining--
}

func (f *interruptedFS) Create(name string) (vfs.File, error) {
	f.step()
	file, err := f.FS.Create(name)
	return &interruptedFile{File: file, fs: f}, err
}

func (f *interruptedFS) Open(name string) (vfs.File, error) {
	file, err := f.FS.Open(name)
	return &interruptedFile{File: file, fs: f}, err
}

func (f *interruptedFS) Rename(from, to string) error {
	f.step()
	return f.FS.Rename(from, to)
}

func (f *interruptedFS) Remove(name string) error {
	f.step()
	return f.FS.Remove(name)
}

func (f *interruptedFS) SyncDir() error {
	f.step()
	return f.FS.SyncDir()
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
