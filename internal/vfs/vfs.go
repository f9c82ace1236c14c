// Package vfs is the file system that holds the durable state of a process: an interface of one flat directory, and its
// implementation by a directory of the operating system.
//
// The interface distinguishes what a process sees from what survives a power loss. A write is durable once File.Sync
// has returned, and a name once FS.SyncDir has returned. Package memfs implements the interface by a simulated disk
// that can lose everything else. The package has no goroutines and no locks.
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
	// Sync makes the file's contents and size durable, and also the name of a new file.
	Sync() error
	// Size returns the file's current size in bytes.
	Size() (int64, error)
}

// FS is one directory without subdirectories. Names contain no slashes. The error for a missing file satisfies
// errors.Is(err, fs.ErrNotExist).
type FS interface {
	// Create creates a file for reading and writing, or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// Rename renames a file. It replaces an existing file with the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of all files, in any order.
	List() ([]string, error)
	// SyncDir makes all earlier creations, renamings and removals durable.
	SyncDir() error
}
