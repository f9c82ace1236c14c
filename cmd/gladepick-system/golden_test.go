package main

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/golden"

	"gladepick/internal/settings"
)

// goldenLines are the command lines of TestCommandLineKeepsItsForm.
var goldenLines = [][]string{
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

// TestCommandLineKeepsItsForm compares, byte by byte, the commands, their flags, defaults, help texts, errors and exit
// codes with those of earlier versions. Unit files and operators' scripts depend on them.
func TestCommandLineKeepsItsForm(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	t.Setenv("COLUMNS", "80") // the width to which help is folded
	t.Setenv(settings.EnvironmentVariable, "")
	var transcript bytes.Buffer
	for _, line := range goldenLines {
		got := runProgram(t, line...)
		fmt.Fprintf(&transcript, "$ %q\n%s%s(exit code %d)\n\n", line, got.output, got.errors, got.code)
	}
	golden.Assert(t, transcript.String(), "commandline.golden")
}

// TestCommandsKeepTheirNames compares the full names of all commands with those of earlier versions.
func TestCommandsKeepTheirNames(t *testing.T) {
	var out, names bytes.Buffer
	made := newProgram(&out, nil)
	for _, command := range made.application.Model().FlattenedCommands() {
		fmt.Fprintf(&names, "%s (process: %v)\n", command.FullCommand, made.processes[command.FullCommand])
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
