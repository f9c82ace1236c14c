// Command gladepick-system runs the processes of the ingest and dispatch service, and is its operators' tool.
//
// It parses the command line, cancels the context on signals and maps errors to exit codes. The operators' commands are
// in internal/operatorcli, the processes in internal/systemnode, and the demonstration in internal/systemnode/demo.
//
// SIGTERM and SIGINT cancel the context of the running command. On SIGHUP, a process (front or store) reads its
// settings file again; any other command exits, which is the default effect of the signal.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/operatorcli"
)

const programName = "gladepick-system"

func main() {
	// Registered before anything else, because an unhandled SIGHUP ends the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	program := newProgram(os.Stdout, reloadSignals)
	code := program.run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

// program is the command-line parser and the function that runs each command.
type program struct {
	application *kingpin.Application
	commands    operatorcli.Commands
	processes   map[string]bool // names of the commands that run a process
	executing   bool            // the parser has passed flags such as --help
}

// errParserExited is the value that the parser panics with instead of calling os.Exit, after it has printed the usage
// or the output of a flag such as --help.
var errParserExited = errors.New("parser exited")

// newProgram builds the command-line parser. Commands print to out. A process reads its settings file again at each of
// reloadSignals.
func newProgram(out io.Writer, reloadSignals <-chan os.Signal) *program {
	application := kingpin.New(programName, "Ingest and dispatch service: its processes and its operators' commands.")
	p := &program{application: application}
	application.UsageWriter(out).Terminate(func(int) { panic(errParserExited) })
	application.Action(func(*kingpin.ParseContext) error {
		p.executing = true
		return nil
	})
	commands := operatorcli.Register(application, out)
	p.processes = registerProcesses(application, commands, reloadSignals)
	registerDemo(application, commands, out)
	p.commands = commands
	return p
}

// run executes a command line and returns the exit code.
func (p *program) run(ctx context.Context, arguments []string, errorOutput io.Writer) int {
	selected, err := p.parse(arguments)
	switch {
	case errors.Is(err, errParserExited) && p.executing:
		return operatorcli.ExitUsage // the command line names no command, and the parser has printed the usage
	case errors.Is(err, errParserExited):
		return operatorcli.ExitDone
	case err != nil:
		fmt.Fprintf(errorOutput, "%s: %v, try --help\n", programName, err)
		return operatorcli.ExitUsage
	}
	if !p.processes[selected] {
		signal.Reset(syscall.SIGHUP)
	}
	err = p.commands[selected](ctx)
	if err != nil {
		fmt.Fprintf(errorOutput, "%s: %s\n", programName, trace.UserMessage(err))
	}
	return operatorcli.ExitCode(err)
}

// parse returns the full name of the selected command. It returns errParserExited if the parser has already printed the
// complete output.
func (p *program) parse(arguments []string) (selected string, err error) {
	defer func() {
		if reason := recover(); reason == errParserExited {
			err = errParserExited
		} else if reason != nil {
			panic(reason)
		}
	}()
	return p.application.Parse(arguments)
}
