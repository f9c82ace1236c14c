package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gladepick/internal/dispatcher/cli"
)

// TestExitCodes checks that misuse exits with 2 and a failed command with 1, that the error names the cause, and that
// help describes the usage.
func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		code    int
		message string // part of the error
		args    []string
	}{
		{cli.ExitMisuse, "unknown command \"fly\"", []string{"fly"}},
		{cli.ExitMisuse, "did you mean drain?", []string{"drian"}},
		{cli.ExitMisuse, "agent needs one file", []string{"agent"}},
		{cli.ExitMisuse, "agent needs one file", []string{"agent", "a", "b"}},
		{cli.ExitMisuse, "drain needs the names of instances", []string{"drain"}},
		{cli.ExitMisuse, "status: unknown flag: --fast", []string{"status", "--fast"}},
		{cli.ExitFailed, "no such file", []string{"agent", "no such file"}},
		{cli.ExitFailed, "the agent at 127.0.0.1:1", []string{"status", "-agent", "127.0.0.1:1"}},
		{cli.ExitFailed, "the agent at 127.0.0.1:1", []string{"counters", "-agent=127.0.0.1:1", "n0"}},
		{cli.ExitFailed, "need gladepick-full beside this program", []string{"plan", "service >= 0.9"}},
		{cli.ExitFailed, "gladepick-full", []string{"schema"}},
		{cli.ExitDone, "", []string{"help"}},
		{cli.ExitDone, "", []string{"-help"}},
		{cli.ExitDone, "", []string{"completion", "bash"}},
	} {
		err := run(test.args, io.Discard)
		if cli.ExitCode(err) != test.code || err != nil && !strings.Contains(err.Error(), test.message) {
			t.Errorf("%v exits with %d: %v", test.args, cli.ExitCode(err), err)
		}
	}
	for args, message := range map[string]string{"help": "Exit codes: 0 done", "help agent": "gladepick agent FILE", "drain --help": "gladepick drain NAME..."} {
		var out bytes.Buffer
		if err := run(strings.Fields(args), &out); err != nil || !strings.Contains(out.String(), message) {
			t.Errorf("%s: %v, %s", args, err, out.String())
		}
	}
}
