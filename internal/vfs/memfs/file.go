package memfs

import (
	"io"
	"io/fs"
	"syscall"
	"time"
)

// file implements vfs.File by an inode of a simulated disk.
type file struct {
	mount  *mount
	inode  *inode
	closed bool
}

// check returns fs.ErrClosed if the file is closed. The caller holds the disk's mutex.
func (f *file) check() error {
	if f.closed {
		return fs.ErrClosed
	}
	return nil
}

func (f *file) ReadAt(buffer []byte, offset int64) (int, error) {
	if err := f.mount.lock(); err != nil {
		return 0, err
	}
	defer f.mount.unlock()
	if err := f.check(); err != nil {
		return 0, err
	}
	if offset >= int64(len(f.inode.current)) {
		return 0, io.EOF
	}
	count := copy(buffer, f.inode.current[offset:])
	if count < len(buffer) {
		return count, io.EOF
	}
	return count, nil
}

func (f *file) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.mount.lockUnstalled(); err != nil {
		return 0, err
	}
	defer f.mount.unlock()
	if err := f.check(); err != nil {
		return 0, err
	}
	if f.mount.disk.full {
		written := f.mount.disk.random.IntN(len(data) + 1)
		f.inode.write(offset, data[:written])
		return written, syscall.ENOSPC
	}
	f.inode.write(offset, data)
	return len(data), nil
}

func (f *file) Truncate(size int64) error {
	if err := f.mount.lock(); err != nil {
		return err
	}
	defer f.mount.unlock()
	if err := f.check(); err != nil {
		return err
	}
	f.inode.truncate(size)
	return nil
}

// Sync implements vfs.File. It makes only the changes durable that were made before the call.
func (f *file) Sync() error {
	if err := f.mount.lockUnstalled(); err != nil {
		return err
	}
	covered := f.inode.changeCount()
	delay := f.mount.disk.syncDelay
	f.mount.unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if err := f.mount.lockUnstalled(); err != nil {
		return err
	}
	defer f.mount.unlock()
	if err := f.check(); err != nil {
		return err
	}
	f.inode.sync(covered)
	f.mount.disk.persistCreation(f.inode)
	f.mount.disk.syncs++
	return nil
}

func (f *file) Size() (int64, error) {
	if err := f.mount.lock(); err != nil {
		return 0, err
	}
	defer f.mount.unlock()
	return int64(len(f.inode.current)), f.check()
}

func (f *file) Close() error {
	f.mount.disk.mutex.Lock()
	defer f.mount.disk.mutex.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}
