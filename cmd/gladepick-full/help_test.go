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
// with testdata/misuse.txt.
func TestHelpAndMisuse(t *testing.T) {
	var help bytes.Buffer
	for _, words := range []string{"help", "plan --help", "schema --help", "schema", "schema capture"} {
		fmt.Fprintf(&help, "== %s ==\n", words)
		if err := run(strings.Fields(words), &help); err != nil {
			t.Errorf("%s: %v", words, err)
		}
	}
	golden.AssertBytes(t, help.Bytes(), "help.txt")
	var misuse bytes.Buffer
	for _, words := range []string{"fly", "plan", "plan --fleet x a b", "plan --fleet x --load y --ask all service>=0.9", "plan --fleet x --load y -o xml service>=0.9",
		"plan --fleet x --load y service", "plan --fleet x service>=0.9", "schema a b", "schema none"} {
		err := run(strings.Fields(words), &misuse)
		fmt.Fprintf(&misuse, "%s: %d, %v\n", words, cli.ExitCode(err), err)
	}
	golden.AssertBytes(t, misuse.Bytes(), "misuse.txt")
}
