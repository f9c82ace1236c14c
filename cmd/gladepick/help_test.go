package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/cli"
)

// TestHelpAndMisuse compares the help of every command with testdata/help.txt, and the errors and exit codes of misuse
// and of failed commands with testdata/misuse.txt.
func TestHelpAndMisuse(t *testing.T) {
	var help bytes.Buffer
	for _, words := range []string{"help", "help agent", "help status", "help counters", "help drain", "help start", "help reload", "help members", "help leases",
		"help completion"} {
		fmt.Fprintf(&help, "== %s ==\n", words)
		if err := run(strings.Fields(words), &help); err != nil {
			t.Errorf("%s: %v", words, err)
		}
	}
	golden.AssertBytes(t, help.Bytes(), "help.txt")
	var misuse bytes.Buffer
	for _, words := range []string{"fly", "drian", "agent", "agent a b", "drain", "start", "reload", "status --fast", "members --output xml",
		"members --from 127.0.0.1:1 n0", "leases --output xml", "leases --from 127.0.0.1:1 n0", "leases --key a/b --open", "leases --key a",
		"agent /no/such/file", "status -agent 127.0.0.1:1", "members --agent 127.0.0.1:1", "members --from 127.0.0.1:1", "leases --from 127.0.0.1:1"} {
		err := run(strings.Fields(words), &misuse)
		fmt.Fprintf(&misuse, "%s: %d, %v\n", words, cli.ExitCode(err), err)
	}
	golden.AssertBytes(t, misuse.Bytes(), "misuse.txt")
}
