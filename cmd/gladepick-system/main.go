// Command gladepick-system runs the processes of the ingest and dispatch service, and is its operators' tool.
//
// It only parses the command line, turns signals into the end of a context, and turns errors into exit codes.
// Operators' commands are in internal/operatorcli, processes in internal/systemnode, and the demonstration in
// internal/systemnode/demo.
//
// SIGTERM and SIGINT end the context of the command that runs. SIGHUP has a process read its settings file, and
// ends any other command, as usual.
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

// program is the command line: its parser, and the function that each command runs.
type program struct {
	application *kingpin.Application
	commands    operatorcli.Commands
	processes   map[string]bool // names of the commands that run a process
	executing   bool            // the parser has got beyond flags such as --help
}

// errEnded is the value with which the parser panics in place of ending the process, after it has printed the
// usage or what a flag such as --help asked for.
var errEnded = errors.New("parser ended")

// newProgram makes the command line. Commands print to out; processes read their settings file again upon hangups.
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

// run executes a command line and returns the exit code.
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

// parse returns the full name of the command. Its error is errEnded where the parser has printed all there is to
// say.
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
