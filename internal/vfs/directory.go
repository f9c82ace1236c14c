package vfs

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// OpenDirectory returns the FS of a directory of the operating system. If the directory is missing, OpenDirectory
// creates it and makes its name durable.
func OpenDirectory(path string) (FS, error) {
	if _, err := os.Stat(path); err == nil {
		return directory{path: path}, nil
	}
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := syncDirectory(filepath.Dir(path)); err != nil {
		return nil, trace.Wrap(err)
	}
	return directory{path: path}, nil
}

// directory implements FS by a directory of the operating system.
type directory struct {
	path string
}

func (d directory) join(name string) string { return filepath.Join(d.path, name) }

func (d directory) Create(name string) (File, error) {
	return openDiskFile(d.join(name), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

func (d directory) Open(name string) (File, error) {
	return openDiskFile(d.join(name), os.O_RDWR)
}

func (d directory) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

func (d directory) Remove(name string) error { return os.Remove(d.join(name)) }

func (d directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

func (d directory) SyncDir() error { return syncDirectory(d.path) }

// syncDirectory makes the names in a directory durable.
func syncDirectory(path string) error {
	handle, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(handle.Sync(), handle.Close())
}

// diskFile implements File by a file of the operating system.
type diskFile struct {
	*os.File
}

// openDiskFile opens a file with the flags of os.OpenFile.
func openDiskFile(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return diskFile{File: file}, nil
}

// Sync implements File with fdatasync, which doesn't write the access and modification times.
func (f diskFile) Sync() error {
	connection, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var syncError error
	err = connection.Control(func(descriptor uintptr) {
		syncError = fdatasync(int(descriptor))
	})
	return errors.Join(err, syncError)
}

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// fdatasync repeats the system call while a signal interrupts it.
func fdatasync(descriptor int) error {
	for {
		err := syscall.Fdatasync(descriptor)
		if !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}
