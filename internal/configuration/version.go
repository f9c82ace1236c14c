package configuration

import (
	"fmt"
)

// VersionError is the error for a version that is not above the current one.
type VersionError struct {
	Next    uint64
	Current uint64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version: %d is not above the current version %d", e.Next, e.Current)
}

// CheckVersion returns a VersionError unless next is above current.
func CheckVersion(next, current uint64) error {
	if next > current {
		return nil
	}
	return &VersionError{Next: next, Current: current}
}
