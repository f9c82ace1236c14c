// Package cli has the code that the command lines of the programs share: command trees, validation of arguments, and
// support for the old syntax of some flags. It defines no commands. An error determines the exit code of the program.
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

// suggestionDistance is the maximum edit distance between an unknown command and a suggested one.
const suggestionDistance = 2

// Main calls run with the program's arguments, prints the error, if any, and exits with its exit code.
func Main(run func(args []string, out io.Writer) error) {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "gladepick:", err)
	}
	os.Exit(ExitCode(err))
}

// NewRoot adds commands to the root command c and returns c. The root prints its help, and suggests similar commands
// for an unknown one.
func NewRoot(c *cobra.Command, commands ...*cobra.Command) *cobra.Command {
	c.SilenceUsage, c.SilenceErrors = true, true
	c.SuggestionsMinimumDistance = suggestionDistance
	c.Args = checkCommand
	c.RunE = func(c *cobra.Command, _ []string) error { return c.Help() }
	c.AddCommand(commands...)
	c.SetFlagErrorFunc(func(c *cobra.Command, err error) error { return MisuseErrorf("%s: %w", c.Name(), err) })
	return c
}

// checkCommand validates the arguments of the root command: any argument is an unknown command.
func checkCommand(c *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	hint := ""
	if suggestions := c.SuggestionsFor(args[0]); len(suggestions) > 0 {
		hint = fmt.Sprintf("; did you mean %s?", strings.Join(suggestions, " or "))
	}
	return MisuseErrorf("unknown command %q%s; gladepick help lists them", args[0], hint)
}

// Execute runs the command that args select. Output goes to out.
func Execute(c *cobra.Command, args []string, out io.Writer) error {
	c.SetArgs(doubleDashes(args))
	c.SetOut(out)
	return c.Execute()
}

// doubleDashes replaces the single dash of -help and -agent by two. Earlier versions, which did not use cobra, accepted
// these long flags with a single dash.
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

// ExactArgs returns a check that a command has exactly n arguments. what describes them in the error.
func ExactArgs(n int, what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return MisuseErrorf("%s needs %s", c.Name(), what)
		}
		return nil
	}
}

// AtLeastOneArg returns a check that a command has at least one argument. what describes the arguments in the error.
func AtLeastOneArg(what string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return MisuseErrorf("%s needs %s", c.Name(), what)
		}
		return nil
	}
}
