package cli

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"

	"github.com/spf13/cobra"
)

func TestExitCode(t *testing.T) {
	for _, k := range []struct {
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
		if code := ExitCode(k.err); code != k.code {
			t.Errorf("%s: %d, want %d", k.name, code, k.code)
		}
	}
}

func TestOldFlagsBehindOneDash(t *testing.T) {
	for _, k := range []struct{ args, want []string }{
		{[]string{"status", "-agent", "a:1"}, []string{"status", "--agent", "a:1"}},
		{[]string{"-agent=a:1", "-help"}, []string{"--agent=a:1", "--help"}},
		{[]string{"-o", "json", "-agents"}, []string{"-o", "json", "-agents"}},
		{[]string{"x", "--", "-agent"}, []string{"x", "--", "-agent"}},
	} {
		if got := doubleDashes(k.args); !slices.Equal(got, k.want) {
			t.Errorf("%q becomes %q, want %q", k.args, got, k.want)
		}
	}
}

func TestArgumentsAreCounted(t *testing.T) {
	for _, k := range []struct {
		name  string
		check cobra.PositionalArgs
		args  []string
		code  int
	}{
		{"exactly one", ExactArgs(1, "one file"), []string{"a"}, ExitDone},
		{"one too few", ExactArgs(1, "one file"), nil, ExitMisuse},
		{"one too many", ExactArgs(1, "one file"), []string{"a", "b"}, ExitMisuse},
		{"some", SomeArgs("names"), []string{"a", "b"}, ExitDone},
		{"none", SomeArgs("names"), nil, ExitMisuse},
	} {
		command := &cobra.Command{Use: "do", Args: k.check, RunE: func(*cobra.Command, []string) error { return nil }}
		err := Execute(NewRoot(&cobra.Command{Use: "program"}, command), append([]string{"do"}, k.args...), io.Discard)
		if code := ExitCode(err); code != k.code {
			t.Errorf("%s: %d (%v), want %d", k.name, code, err, k.code)
		}
	}
}
