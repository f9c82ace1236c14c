// Command gladepick is the dispatcher and its operator's tool. Without arguments
// it runs one dispatcher, as the NODE_ variables say; with them it is a command
// line with one file a command. Start and memory of a dispatcher are those of the
// platform, so what needs large libraries (recording, planning, durable jobs) is
// another program, gladepick-full, which must lie beside this one and takes over
// where it is needed.
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

// fullProgram is the program that has what needs large libraries.
const fullProgram = "gladepick-full"

func main() { cli.Main(run) }

func run(args []string, out io.Writer) error {
	switch {
	case len(args) > 0:
		return cli.Execute(newRoot(), args, out)
	case os.Getenv("NODE_CAPTURE") != "" || os.Getenv("NODE_PROMISES") != "":
		return runFull(nil)
	}
	return instance.Run(nil, nil) // the dispatcher waits for no command line
}

// runFull lets gladepick-full take this process over, with these arguments. It returns only if that fails.
func runFull(args []string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(executable), fullProgram)
	err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
	return errors.Join(
		errors.New("recording, planning and taking jobs for keeps need gladepick-full beside this program"),
		&os.PathError{Op: "exec", Path: path, Err: err},
	)
}

// newRoot makes the whole tree of commands.
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

// fullCommand makes a command that gladepick-full has: it reads its own flags and gives its own help.
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
