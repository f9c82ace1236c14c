// Package vfs is the file system that durable state is kept on: an interface of one flat directory, and its
// implementation by a real directory.
//
// The interface separates what a process sees from what survives a loss of power. A write survives once File.Sync has
// returned, a name once FS.SyncDir has; package memfs implements the same interface by a simulated disk, which loses the
// rest on demand. The package has no goroutines and no locks of its own.
//
// Start reading at FS.
package vfs

import "io"

// File is an open file of an FS. Its methods are safe for concurrent use.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the file's size in bytes.
	Truncate(size int64) error
	// Sync makes the file's contents and size durable; for a new file also its name.
	Sync() error
	// Size returns the file's current size in bytes.
	Size() (int64, error)
}

// FS is one directory without subdirectories. Names contain no slashes. A missing file is reported by an error that
// satisfies errors.Is(err, fs.ErrNotExist).
type FS interface {
	// Create makes an empty file for reading and writing; an existing one is truncated.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// Rename renames a file and replaces the one that has the new name, if any.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files, in no particular order.
	List() ([]string, error)
	// SyncDir makes all names durable as they are now.
	SyncDir() error
}
