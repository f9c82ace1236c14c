// Command gladepick is the dispatcher and its operator's tool. Without arguments it runs one dispatcher, configured by
// the NODE_ environment variables. With arguments it runs one of the commands; each command has a file of its own here.
//
// The platform limits a dispatcher's start time and memory. The features that need large libraries (recording,
// planning, durable jobs) are therefore in a second program, gladepick-full, which must be installed in the same
// directory. When such a feature is needed, this process replaces itself with gladepick-full.
package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/instance"
)

// fullProgram is the file name of the program with the features that need large libraries.
const fullProgram = "gladepick-full"

func main() { cli.Main(run) }

func run(args []string, out io.Writer) error {
	switch {
	case len(args) > 0:
		return cli.Execute(newRoot(), args, out)
	case os.Getenv("NODE_CAPTURE") != "" || os.Getenv("NODE_PROMISES") != "":
		return runFull(nil)
	}
	return instance.Run(nil, nil) // does not build the command tree, which a dispatcher does not need
}

// runFull replaces this process with gladepick-full and passes it args. It returns only if that fails.
func runFull(args []string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(executable), fullProgram)
	err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
	return errors.Join(
		errors.New("recording, planning and durable jobs need gladepick-full beside this program"),
		&os.PathError{Op: "exec", Path: path, Err: err},
	)
}

// newRoot builds the root command with all its subcommands.
func newRoot() *cobra.Command {
	return cli.NewRoot(&cobra.Command{
		Use:   "gladepick",
		Short: "Dispatch course registration jobs to workers, and manage many dispatchers",
		Long: `gladepick dispatches course registration jobs from university portals to workers.

Without arguments it runs one dispatcher, as the NODE_ variables say. The
commands below keep many of them running on a machine, ask after them, and plan.

Exit codes: 0 done, 1 failed, 2 wrong use, 3 the goal cannot be met.`,
	},
		agentCommand(),
		statusCommand(),
		countersCommand(),
		drainCommand(),
		startCommand(),
		reloadCommand(),
		membersCommand(),
		leasesCommand(),
		planCommand(),
		schemaCommand(),
	)
}

// fullCommand makes c run in gladepick-full, which parses the flags and prints the help.
func fullCommand(c *cobra.Command) *cobra.Command {
	c.DisableFlagParsing = true
	c.RunE = func(c *cobra.Command, args []string) error { return runFull(append([]string{c.Name()}, args...)) }
	c.SetHelpFunc(func(c *cobra.Command, _ []string) {
		if err := runFull([]string{c.Name(), "--help"}); err != nil {
			c.PrintErrln("gladepick:", err)
		}
	})
	return c
}
