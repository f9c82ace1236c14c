// Command gladepick-system runs the processes of the ingest and dispatch service, and is its operators' tool.
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
	// From the first moment on, SIGHUP must not end a process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	program := newProgram(os.Stdout, hangups)
	code := program.run(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(code)
}

// program is the command line.
type program struct {
	application *kingpin.Application
	commands    operatorcli.Commands
	processes   map[string]bool // names of the commands that run a process
	executing   bool            // the parser has got beyond flags such as --help
}

// errEnded is the panic by which the parser ends after it has printed what was asked for, or the usage.
var errEnded = errors.New("parser ended")

// newProgram makes the command line. Commands print to a writer; processes read their settings again upon hangups.
func newProgram(out io.Writer, hangups <-chan os.Signal) *program {
	application := kingpin.New(programName, "Ingest and dispatch service: its processes and its operators' commands.")
	p := &program{application: application}
	application.UsageWriter(out).Terminate(func(int) { panic(errEnded) })
	application.Action(func(*kingpin.ParseContext) error {
		p.executing = true
		return nil
	})
	commands := operatorcli.Register(application, out)
	p.processes = registerProcesses(application, commands, hangups)
	registerDemo(application, commands, out)
	p.commands = commands
	return p
}

// run carries out a command line and returns the exit code.
func (p *program) run(ctx context.Context, arguments []string, errorOutput io.Writer) int {
	selected, err := p.parse(arguments)
	switch {
	case errors.Is(err, errEnded) && p.executing:
		return operatorcli.ExitUsage // no command was named, and the usage was printed
	case errors.Is(err, errEnded):
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

// parse returns the full name of the command. Its error is errEnded where the parser has printed all there is to say.
func (p *program) parse(arguments []string) (selected string, err error) {
	defer func() {
		if reason := recover(); reason == errEnded {
			err = errEnded
		} else if reason != nil {
			panic(reason)
		}
	}()
	return p.application.Parse(arguments)
}
