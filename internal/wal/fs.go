package wal

import "io"

// File is an open file of an FS. Its methods are safe for concurrent use.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Truncate sets the file's size.
	Truncate(size int64) error
	// Sync makes the file's contents and size durable; for a new file also its name.
	Sync() error
	// Size returns the file's current size.
	Size() (int64, error)
}

// FS is what a log needs of one directory. Names contain no slashes.
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
