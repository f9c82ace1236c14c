package operatorcli

import "errors"

// Exit codes of the operators' commands.
const (
	ExitDone    = 0
	ExitFailed  = 1 // no front responded conclusively, a file could not be read, or another failure
	ExitUsage   = 2 // wrong flags or arguments
	ExitRefused = 3 // a front refused the request (this includes "not found"), or a file is invalid
)

// ExitCode returns the exit code for the error of a command, which may be nil. It never returns ExitUsage, since the
// caller finds wrong usage when it parses the command line, before a command runs.
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
