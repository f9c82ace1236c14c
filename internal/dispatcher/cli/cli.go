// Package cli is what the command lines of the programs share: the tree of
// commands, checks of arguments, and flags as they were once written. It knows no
// command. Errors carry the exit code that they end the program with.
//
// Start reading at Main.
package cli

import (
	"fmt"
	"io"
	"log"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// suggestionDistance is how many letters may differ between an unknown command and one that is suggested.
const suggestionDistance = 2

// Main runs a program with its arguments, prints its error and ends it with its exit code.
func Main(run func(args []string, out io.Writer) error) {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gladepick:", err)
	}
	os.Exit(ExitCode(err))
}

// NewRoot makes a tree of commands that says what is wrong with an unknown word.
func NewRoot(c *cobra.Command, commands ...*cobra.Command) *cobra.Command {
	c.SilenceUsage, c.SilenceErrors = true, true
	c.SuggestionsMinimumDistance = suggestionDistance
	c.Args = checkCommand
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	c.AddCommand(commands...)
	c.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return MisuseErrorf("%s: %w", c.Name(), err) })
	return c
}

// checkCommand is called with the words that are no command.
func checkCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	hint := ""
	if near := c.SuggestionsFor(args[0]); len(near) > 0 {
		hint = fmt.Sprintf("; did you mean %s?", strings.Join(near, " or "))
	}
	return MisuseErrorf("unknown command %q%s; gladepick help lists them", args[0], hint)
}

// Execute runs a tree of commands.
func Execute(c *cobra.Command, args []string, out io.Writer) error {
	c.SetArgs(doubleDashes(args))
	c.SetOut(out)
	return c.Execute()
}

// doubleDashes lets the oldest long flags stand behind one dash, as they did before there was a library for them.
func doubleDashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if a == "--" {
			copy(out[i:], args[i:])
			break
		}
		out[i] = a
		if a == "-help" || a == "-agent" || strings.HasPrefix(a, "-agent=") {
			out[i] = "-" + a
		}
	}
	return out
}

// ExactArgs makes a command take n arguments; what names them in the error.
func ExactArgs(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return MisuseErrorf("%s needs %s", c.Name(), what)
		}
		return nil
	}
}

// SomeArgs makes a command take one argument or more; what names them in the error.
func SomeArgs(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return MisuseErrorf("%s needs %s", c.Name(), what)
		}
		return nil
	}
}
