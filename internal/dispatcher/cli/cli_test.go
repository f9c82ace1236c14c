package cli

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/spf13/cobra"
)

// Each kind of error must end the program with its exit code, also if it is wrapped.
func TestErrorDeterminesExitCode(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
		code int
	}{
		{"no error", nil, ExitDone},
		{"any error", errors.New("x"), ExitFailed},
		{"misuse", MisuseErrorf("x"), ExitMisuse},
		{"a code of its own", &ExitError{ExitGoalMissed, errors.New("x")}, ExitGoalMissed},
		{"a wrapped code", fmt.Errorf("more: %w", MisuseErrorf("x")), ExitMisuse},
	} {
		if code := ExitCode(tc.err); code != tc.code {
			t.Errorf("%s: %d, want %d", tc.name, code, tc.code)
		}
	}
}

// Only the old flags may be rewritten, and nothing after "--".
func TestOldFlagsAcceptSingleDash(t *testing.T) {
	for _, tc := range []struct{ args, want []string }{
		{[]string{"status", "-agent", "a:1"}, []string{"status", "--agent", "a:1"}},
		{[]string{"-agent=a:1", "-help"}, []string{"--agent=a:1", "--help"}},
		{[]string{"-o", "json", "-agents"}, []string{"-o", "json", "-agents"}},
		{[]string{"x", "--", "-agent"}, []string{"x", "--", "-agent"}},
	} {
		if got := doubleDashes(tc.args); !slices.Equal(got, tc.want) {
			t.Errorf("%q becomes %q, want %q", tc.args, got, tc.want)
		}
	}
}

// A command with too few or too many arguments must end with the exit code of misuse.
func TestWrongNumberOfArgumentsIsMisuse(t *testing.T) {
	for _, tc := range []struct {
		name  string
		check cobra.PositionalArgs
		args  []string
		code  int
	}{
		{"exactly one", ExactArgs(1, "one file"), []string{"a"}, ExitDone},
		{"one too few", ExactArgs(1, "one file"), nil, ExitMisuse},
		{"one too many", ExactArgs(1, "one file"), []string{"a", "b"}, ExitMisuse},
		{"some", AtLeastOneArg("names"), []string{"a", "b"}, ExitDone},
		{"none", AtLeastOneArg("names"), nil, ExitMisuse},
	} {
		command := &cobra.Command{Use: "do", Args: tc.check, RunE: func(*cobra.Command, []string) error { return nil }}
		err := Execute(NewRoot(&cobra.Command{Use: "program"}, command), append([]string{"do"}, tc.args...), io.Discard)
		if code := ExitCode(err); code != tc.code {
			t.Errorf("%s: %d (%v), want %d", tc.name, code, err, tc.code)
		}
	}
}
