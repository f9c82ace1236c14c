package main

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/golden"

	"gladepick/internal/settings"
)

// goldenCommandLines are the command lines that TestCommandLineIsUnchanged runs.
var goldenCommandLines = [][]string{
	{"--help"},
	{"front", "--help"},
	{"store", "--help"},
	{"demo", "--help"},
	{"status", "--help"},
	{"members", "--help"},
	{"partitions", "--help"},
	{"metrics", "--help"},
	{"config", "--help"},
	{"config", "get", "--help"},
	{"config", "put", "--help"},
	{"config", "diff", "--help"},
	{"config", "check", "--help"},
	{"message", "--help"},
	{"message", "show", "--help"},
	{"settings", "--help"},
	{"settings", "check", "--help"},
	{"retire", "--help"},
	{"retire", "start", "--help"},
	{"retire", "show", "--help"},
	{},
	{"config"},
	{"nonsense"},
	{"status"},
	{"status", "--nonsense"},
	{"status", "-a", "x", "--output", "xml"},
	{"retire", "start", "-a", "x"},
	{"front", "--settings", "missing.toml"},
}

// TestCommandLineIsUnchanged compares the commands, their flags, defaults, help texts, errors and exit codes byte by
// byte with those of earlier versions. Unit files and operators' scripts depend on them.
func TestCommandLineIsUnchanged(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	t.Setenv("COLUMNS", "80") // the width at which the help is wrapped
	t.Setenv(settings.EnvironmentVariable, "")
	var transcript bytes.Buffer
	for _, arguments := range goldenCommandLines {
		got := runProgram(t, arguments...)
		fmt.Fprintf(&transcript, "$ %q\n%s%s(exit code %d)\n\n", arguments, got.output, got.errors, got.code)
	}
	golden.Assert(t, transcript.String(), "commandline.golden")
}

// TestCommandNamesAreUnchanged compares the full names, flags and arguments of all commands with those of earlier
// versions.
func TestCommandNamesAreUnchanged(t *testing.T) {
	var out, names bytes.Buffer
	built := newProgram(&out, nil)
	for _, command := range built.application.Model().FlattenedCommands() {
		fmt.Fprintf(&names, "%s (process: %v)\n", command.FullCommand, built.processes[command.FullCommand])
		for _, flag := range command.Flags {
			fmt.Fprintf(&names, "  --%s short=%q default=%q variable=%q required=%v hidden=%v\n",
				flag.Name, string(flag.Short), flag.Default, flag.Envar, flag.Required, flag.Hidden)
		}
		for _, argument := range command.Args {
			fmt.Fprintf(&names, "  <%s> required=%v\n", argument.Name, argument.Required)
		}
	}
	golden.Assert(t, names.String(), "commands.golden")
}
