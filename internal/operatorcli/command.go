// Package operatorcli implements the operators' commands. Each command is in a file named after it. A command either
// calls the fronts of a running system over HTTP, or checks a file without a network call.
//
// Register adds the commands to a kingpin application. The caller parses the command line and runs the function of the
// selected command, which prints a table or JSON to a writer. The command's error may be or wrap a *RefusedError, an
// *InvalidFileError or an *UnavailableError. ExitCode maps it to an exit code.
//
// Commands, flags, output and exit codes are an interface that operators' scripts depend on. The golden files under
// testdata record them.
//
// The package starts no goroutines. Start reading at Register, then Client.Do.
package operatorcli

import (
	"context"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// AddressVariable is the environment variable for the flag --address. It contains addresses of fronts, one per line.
const AddressVariable = "GLADEPICK_ADDRESS"

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// defaultTimeout is the default of --timeout, which bounds all calls of a command at all addresses together.
const defaultTimeout = 15 * time.Second

// Runner executes a command after its flags and arguments have been parsed.
type Runner func(ctx context.Context) error

// Commands maps the full name of each command, such as "config put", to its function.
type Commands map[string]Runner

// Register adds the operators' commands to an application and returns their functions. The commands print to out.
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

// connectionFlags are the flags of a command that calls fronts.
type connectionFlags struct {
	addresses *[]string
	timeout   *time.Duration
}

// addConnectionFlags adds the flags of a command that calls fronts. listener is the listener of the front whose address
// the command takes; it appears in the help text.
func addConnectionFlags(command *kingpin.CmdClause, listener string) connectionFlags {
	help := "The " + listener + " address of a front, \"ip:port\"; may be repeated."
	return connectionFlags{
		addresses: command.Flag("address", help).Short('a').Envar(AddressVariable).Required().Strings(),
		timeout: command.Flag("timeout", "How long to try, all addresses together.").
			Default(defaultTimeout.String()).Duration(),
	}
}

// Listeners of a front, for addConnectionFlags.
const (
	listenerControl = "control"
	listenerClient  = "client"
)

// client returns a client of the fronts and a context that ends after the command's time-out. The caller must call the
// cancel function.
func (f connectionFlags) client(ctx context.Context) (*Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, *f.timeout)
	return NewClient(*f.addresses, nil), ctx, cancel
}

// addOutputFlag adds the flag --output to a command.
func addOutputFlag(command *kingpin.CmdClause) *string {
	return command.Flag("output", "How to print.").Short('o').Default(outputTable).Enum(outputTable, outputJSON)
}
