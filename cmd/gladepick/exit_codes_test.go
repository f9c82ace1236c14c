package main

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"gladepick/internal/dispatcher/cli"
)

// Wrong use ends with 2, what fails with 1, and each says in one line what is wrong; help says how it is done.
func TestExitCodes(t *testing.T) {
	for _, k := range []struct {
		code int
		says string
		args []string
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
		err := run(k.args, io.Discard)
		if cli.ExitCode(err) != k.code || err != nil && !strings.Contains(err.Error(), k.says) {
			t.Errorf("%v ends with %d: %v", k.args, cli.ExitCode(err), err)
		}
	}
	for args, says := range map[string]string{"help": "Exit codes: 0 done", "help agent": "gladepick agent FILE", "drain --help": "gladepick drain NAME..."} {
		var out bytes.Buffer
		if err := run(strings.Fields(args), &out); err != nil || !strings.Contains(out.String(), says) {
			t.Errorf("%s: %v, %s", args, err, out.String())
		}
	}
}
