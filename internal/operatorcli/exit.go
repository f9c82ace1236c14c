package operatorcli

import "errors"

// Exit codes of the operators' commands.
const (
	ExitDone    = 0
	ExitFailed  = 1 // no front answered conclusively, or a file could not be read
	ExitUsage   = 2 // wrong flags or arguments
	ExitRefused = 3 // not found, or refused with a reason
)

// ExitCode returns the exit code for the result of a command. ExitUsage is not among them: the parser of the
// command line finds wrong usage before a command runs.
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
