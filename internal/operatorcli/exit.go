package operatorcli

import "errors"

// Exit codes.
const (
	ExitDone    = 0
	ExitFailed  = 1
	ExitUsage   = 2 // wrong flags or arguments
	ExitRefused = 3 // not found, or refused with a reason
)

// InvalidFileError says that a file was read and is faulty.
type InvalidFileError struct {
	Path string
	Err  error // tells everything that was found
}

// Error implements error.
func (e *InvalidFileError) Error() string { return e.Path + " is invalid:\n" + e.Err.Error() }

// Unwrap returns the findings.
func (e *InvalidFileError) Unwrap() error { return e.Err }

// ExitCode returns the exit code for the outcome of a command.
func ExitCode(err error) int {
	var invalid *InvalidFileError
	switch {
	case err == nil:
		return ExitDone
	case isRefusal(err), errors.As(err, &invalid):
		return ExitRefused
	}
	return ExitFailed
}
