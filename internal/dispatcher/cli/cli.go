// Package cli is what the command lines of the programs share: exit codes,
// checks of arguments, flags as they were once written. It must never know a
// command.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"strings"

	"github.com/spf13/cobra"
)

// The exit codes, as the README documents them.
const (
	ExitDone       = 0 // done
	ExitFailed     = 1 // it could not be done
	ExitMisuse     = 2 // wrong use: flags, arguments, words
	ExitGoalMissed = 3 // no plan meets the goal
)

// Exit is an error that ends the program with a code of its own.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the error that ends the program.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error that ends the program.
func (e *ExitError) Unwrap() error { return e.Err }

// Misuse is an error in how a command was called.
func MisuseErrorf(format string, v ...any) error {
	return &ExitError{ExitMisuse, fmt.Errorf(format, v...)}
}

// Code is what the program ends with after err.
func ExitCode(err error) int {
	var e *ExitError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &e):
		return e.Code
	}
	return ExitFailed
}

// words lets long flags stand behind one dash, as they did before there was a library for them.
func words(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if a == "--" {
			copy(out[i:], args[i:])
			break
		}
		if out[i] = a; a == "-help" || a == "-agent" || strings.HasPrefix(a, "-agent=") {
			out[i] = "-" + a
		}
	}
	return out
}

// Exactly makes a command take just so many arguments, which what names.
func ExactArgs(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return MisuseErrorf("%s needs %s", c.Name(), what)
		}
		return nil
	}
}

// Some makes a command take one argument or more.
func SomeArgs(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return MisuseErrorf("%s needs %s", c.Name(), what)
		}
		return nil
	}
}

// Root makes a tree of commands that says what is wrong with an unknown word.
func NewRoot(c *cobra.Command, commands ...*cobra.Command) *cobra.Command {
	c.SilenceUsage, c.SilenceErrors, c.SuggestionsMinimumDistance = true, true, 2
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return nil
		}
		hint := ""
		if near := c.SuggestionsFor(args[0]); len(near) > 0 {
			hint = fmt.Sprintf("; did you mean %s?", strings.Join(near, " or "))
		}
		return MisuseErrorf("unknown command %q%s; gladepick help lists them", args[0], hint)
	}
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	c.AddCommand(commands...)
	c.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return MisuseErrorf("%s: %w", c.Name(), err) })
	return c
}

// Main runs a program and ends it with its exit code.
func Main(run func(args []string, out io.Writer) error) {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gladepick:", err)
	}
	os.Exit(ExitCode(err))
}

// Run runs a tree.
func Execute(c *cobra.Command, args []string, out io.Writer) error {
	c.SetArgs(words(args))
	c.SetOut(out)
	return c.Execute()
}
