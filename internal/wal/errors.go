package wal

import (
	"errors"
	"syscall"
)

var (
	// ErrClosed is returned by calls on a closed log.
	ErrClosed = errors.New("wal: log is closed")
	// ErrCorrupt means that stored data fails its checksum or that a file is missing, and that a crash cannot be the
	// cause.
	ErrCorrupt = errors.New("wal: stored data is corrupt")
	// ErrNoRecord means that the log has no record at a position, or that the record's segment was removed.
	ErrNoRecord = errors.New("wal: no record at this position")
	// ErrTooLarge means that a record exceeds MaxRecordBytes.
	ErrTooLarge = errors.New("wal: record too large")
	// ErrBacklogFull means that too many bytes are waiting for a disk that is full, slow or stalled.
	ErrBacklogFull = errors.New("wal: too much data is waiting for the disk")
)

// IsDiskFull reports whether an error means that the disk is full or the disk quota is exhausted.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
