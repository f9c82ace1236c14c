// Command gladepick is the dispatcher and its operator's tool. Without
// arguments it runs one dispatcher, as the NODE_ variables say; with them it is
// a command line with one file a command. This file owns the tree of commands
// and the exit codes. It must never decide anything about a job, a worker or a
// message, and the way to the dispatcher must stay clear of all that commands
// need.
package main

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
	exitDone   = 0 // done
	exitFailed = 1 // it could not be done
	exitUse    = 2 // wrong use: flags, arguments, words
	exitGoal   = 3 // no plan meets the goal
)

// exit is an error that ends the program with a code of its own.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

// misuse is an error in how a command was called.
func misuse(format string, v ...any) error { return &exit{exitUse, fmt.Errorf(format, v...)} }

// code is what the program ends with after err.
func code(err error) int {
	var e *exit
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &e):
		return e.code
	}
	return exitFailed
}

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gladepick:", err)
	}
	os.Exit(code(err))
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 { // the dispatcher waits for no command line
		return node()
	}
	c := root()
	c.SetArgs(words(args))
	c.SetOut(out)
	return c.Execute()
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

// root is the whole tree of commands.
func root() *cobra.Command {
	c := &cobra.Command{
		Use:   "gladepick",
		Short: "Dispatch course registration jobs to workers, and manage many dispatchers",
		Long: `gladepick dispatches course registration jobs from university portals to workers.

Without arguments it runs one dispatcher, as the NODE_ variables say. The
commands below keep many of them running on a machine and ask after them.

Exit codes: 0 done, 1 failed, 2 wrong use, 3 the goal cannot be met.`,
		SilenceUsage: true, SilenceErrors: true,
		Args: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				return nil
			}
			hint := ""
			if near := c.SuggestionsFor(args[0]); len(near) > 0 {
				hint = fmt.Sprintf("; did you mean %s?", strings.Join(near, " or "))
			}
			return misuse("unknown command %q%s; gladepick help lists them", args[0], hint)
		},
		RunE:                       func(c *cobra.Command, _ []string) error { return c.Help() },
		SuggestionsMinimumDistance: 2,
	}
	c.AddCommand(agentCommand(), statusCommand(), countersCommand(), drainCommand(), startCommand(), reloadCommand(), schemaCommand(),
		planCommand())
	c.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return misuse("%s: %w", c.Name(), err) })
	return c
}

// exactly makes a command take just so many arguments, which what names.
func exactly(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return misuse("%s needs %s", c.Name(), what)
		}
		return nil
	}
}

// some makes a command take one argument or more.
func some(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return misuse("%s needs %s", c.Name(), what)
		}
		return nil
	}
}
