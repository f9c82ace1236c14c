package cli

import (
	"errors"
	"fmt"
)

// Exit codes, which the documentation for operators lists.
const (
	ExitDone       = 0 // success
	ExitFailed     = 1 // any error without a code of its own
	ExitMisuse     = 2 // unknown command, or invalid flags or arguments
	ExitGoalMissed = 3 // no plan meets the goal
)

// ExitError is an error that determines the exit code of the program.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// MisuseErrorf returns an error with the code ExitMisuse, for a command that was called incorrectly.
func MisuseErrorf(format string, v ...any) error {
	return &ExitError{ExitMisuse, fmt.Errorf(format, v...)}
}

// ExitCode returns the exit code for an error, which may be nil.
func ExitCode(err error) int {
	var e *ExitError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &e):
		return e.Code
	}
	return ExitFailed
}
