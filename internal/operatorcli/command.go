// Package operatorcli holds the operator's commands. They talk HTTP to the fronts of a running system, or check files
// without any.
package operatorcli

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// AddressVariable names the environment variable that holds the addresses of fronts, one a line.
const AddressVariable = "GLADEPICK_ADDRESS"

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const defaultTimeout = 15 * time.Second

// Runner carries out a command whose flags and arguments have been read.
type Runner func(ctx context.Context) error

// Commands are the operator's commands by their full names.
type Commands map[string]Runner

// Register adds the operator's commands to an application. They print to a writer.
func Register(application *kingpin.Application, out io.Writer) Commands {
	commands := Commands{}
	registerInspection(application, out, commands)
	registerConfiguration(application, out, commands)
	registerMessage(application, out, commands)
	registerSettings(application, out, commands)
	registerRetire(application, out, commands)
	return commands
}

// add names the runner of a command.
func (c Commands) add(command *kingpin.CmdClause, run Runner) { c[command.FullCommand()] = run }

// connection holds the flags of a command that calls fronts.
type connection struct {
	addresses *[]string
	timeout   *time.Duration
}

// addConnection adds the flags of a command that calls fronts. The listener says whose addresses are wanted.
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

// client returns a client, and a context that ends it in time.
func (c connection) client(ctx context.Context) (*Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, *c.timeout)
	return NewClient(*c.addresses, nil), ctx, cancel
}

// addOutput adds the flag --output to a command.
func addOutput(command *kingpin.CmdClause) *string {
	return command.Flag("output", "How to print.").Short('o').Default(outputTable).Enum(outputTable, outputJSON)
}
