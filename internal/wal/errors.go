package wal

import (
	"errors"
	"syscall"
)

var (
	// ErrClosed is returned by calls on a closed log.
	ErrClosed = errors.New("wal: log is closed")
	// ErrCorrupt means that stored bytes fail their checksum, or that a file is missing, where no crash explains it.
	ErrCorrupt = errors.New("wal: stored data is corrupt")
	// ErrNoRecord means that the log holds no record at a position, or holds it no longer.
	ErrNoRecord = errors.New("wal: no record at this position")
	// ErrTooLarge means that a record exceeds MaxRecordBytes.
	ErrTooLarge = errors.New("wal: record too large")
	// ErrBacklogFull means that too many bytes wait for a disk that is full or does not answer.
	ErrBacklogFull = errors.New("wal: too much data waits for the disk")
)

// IsDiskFull tells whether an error says that the disk has no room left.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
