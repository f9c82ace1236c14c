package wal

import (
	"errors"
	"syscall"
)

// ErrClosed is returned by calls on a closed log.
var ErrClosed = errors.New("journal: log is closed")

// ErrDamaged means that stored bytes fail their checksum, or that a file is missing, where no crash explains it.
var ErrDamaged = errors.New("journal: stored data is damaged")

// ErrNoRecord means that the log holds no record at a position, or holds it no longer.
var ErrNoRecord = errors.New("journal: no record at this position")

// ErrTooLarge means that a record or file exceeds the largest permitted size.
var ErrTooLarge = errors.New("journal: record too large")

// ErrBacklog means that too many bytes wait for a disk that is full or does not answer.
var ErrBacklog = errors.New("journal: too much data waits for the disk")

// IsDiskFull tells whether an error says that the disk has no room left.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
