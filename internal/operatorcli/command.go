// Package operatorcli holds the operators' commands: a file for each command, named after it. A command either
// calls the fronts of a running system over HTTP, or checks a file without calling anybody.
//
// Register adds the commands to a kingpin application; the caller parses the command line and runs the function of
// the selected command. Output goes to a writer, as a table or as JSON. Errors are or wrap *RefusedError,
// *InvalidFileError, *UnavailableError, or others, and ExitCode turns them into exit codes. Commands, flags,
// output and exit codes are an interface: operators' scripts depend on them, and the golden files under testdata
// hold them.
//
// The package starts no goroutines. Start reading at Register, then Client.Do.
package operatorcli

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// AddressVariable is the environment variable that holds the addresses of fronts, one a line.
const AddressVariable = "GLADEPICK_ADDRESS"

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultTimeout bounds a command, all its attempts at all addresses together.
const defaultTimeout = 15 * time.Second

// Runner executes a command after its flags and arguments have been parsed.
type Runner func(ctx context.Context) error

// Commands are the commands by their full names, such as "config put".
type Commands map[string]Runner

// Register adds the operators' commands to an application. They print to a writer.
func Register(application *kingpin.Application, out io.Writer) Commands {
	commands := Commands{}
	registerStatus(application, out, commands)
	registerMembers(application, out, commands)
	registerPartitions(application, out, commands)
	registerMetrics(application, out, commands)
	registerConfiguration(application, out, commands)
	registerMessage(application, out, commands)
	registerSettings(application, out, commands)
	registerRetire(application, out, commands)
	return commands
}

// add sets the function of a command.
func (c Commands) add(command *kingpin.CmdClause, run Runner) { c[command.FullCommand()] = run }

// connection holds the flags of a command that calls fronts.
type connection struct {
	addresses *[]string
	timeout   *time.Duration
}

// addConnection adds the flags of a command that calls fronts. The listener says which address of a front the help
// asks for.
func addConnection(command *kingpin.CmdClause, listener string) connection {
	help := "The " + listener + " address of a front, \"ip:port\"; may be repeated."
	return connection{
		addresses: command.Flag("address", help).Short('a').Envar(AddressVariable).Required().Strings(),
		timeout: command.Flag("timeout", "How long to try, all addresses together.").
			Default(defaultTimeout.String()).Duration(),
	}
}

// Listeners whose addresses a command takes.
const (
	listenerControl = "control"
	listenerClient  = "client"
)

// client returns a client of the fronts, and a context that ends after the command's timeout.
func (c connection) client(ctx context.Context) (*Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, *c.timeout)
	return NewClient(*c.addresses, nil), ctx, cancel
}

// addOutput adds the flag --output to a command.
func addOutput(command *kingpin.CmdClause) *string {
	return command.Flag("output", "How to print.").Short('o').Default(outputTable).Enum(outputTable, outputJSON)
}
