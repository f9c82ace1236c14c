package cli

import (
	"errors"
	"fmt"
)

// The exit codes, as the operators' pages have them.
const (
	ExitDone       = 0 // done
	ExitFailed     = 1 // it could not be done
	ExitMisuse     = 2 // wrong use: flags, arguments, commands
	ExitGoalMissed = 3 // no plan meets the goal
)

// ExitError is an error that ends the program with a code of its own.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the error that ends the program.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error that ends the program.
func (e *ExitError) Unwrap() error { return e.Err }

// MisuseErrorf makes an error in how a command was called.
func MisuseErrorf(format string, v ...any) error {
	return &ExitError{ExitMisuse, fmt.Errorf(format, v...)}
}

// ExitCode returns what the program ends with after an error.
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
