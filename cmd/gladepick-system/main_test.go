package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/operatorcli"
)

// outcome is the exit code and the output of one command line.
type outcome struct {
	code   int
	output string
	errors string
}

func runProgram(t *testing.T, arguments ...string) outcome {
	t.Helper()
	t.Setenv(operatorcli.AddressVariable, "")
	var output, errorOutput bytes.Buffer
	code := newProgram(&output, nil).run(t.Context(), arguments, &errorOutput)
	return outcome{code, output.String(), errorOutput.String()}
}

func TestExitCodes(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	folder := t.TempDir()
	faulty := filepath.Join(folder, "faulty.toml")
	assert.NilError(t, os.WriteFile(faulty, []byte("zone = 3"), 0o600))
	missing := filepath.Join(folder, "missing.toml")

	cases := []struct {
		arguments []string
		code      int
		errors    string // part of the text on standard error
	}{
		{[]string{"--help"}, operatorcli.ExitDone, ""},
		{[]string{"status", "--help"}, operatorcli.ExitDone, ""},
		{[]string{"--completion-script-bash"}, operatorcli.ExitDone, ""},
		{[]string{"--completion-bash", "retire"}, operatorcli.ExitDone, ""},
		{nil, operatorcli.ExitUsage, ""},
		{[]string{"config"}, operatorcli.ExitUsage, ""},
		{[]string{"nonsense"}, operatorcli.ExitUsage, "nonsense"},
		{[]string{"status"}, operatorcli.ExitUsage, "--address"},
		{[]string{"front", "--settings", missing}, operatorcli.ExitFailed, "reading the settings file"},
		{[]string{"store", "--settings", faulty}, operatorcli.ExitFailed, "zone: must be a string"},
		{[]string{"settings", "check", faulty}, operatorcli.ExitRefused, "zone: must be a string"},
		{[]string{"retire", "show", "-a", address, "nobody"}, operatorcli.ExitRefused, "404"},
	}
	for _, test := range cases {
		got := runProgram(t, test.arguments...)
		assert.Equal(t, got.code, test.code, "%q: %s", test.arguments, got.errors)
		assert.Assert(t, strings.Contains(got.errors, test.errors), "%q: %s", test.arguments, got.errors)
	}
}

func TestHelpNamesTheCommands(t *testing.T) {
	help := runProgram(t, "--help").output
	for _, command := range []string{"front", "store", "demo", "status", "members", "partitions", "config", "retire"} {
		assert.Assert(t, strings.Contains(help, command), command)
	}
}
