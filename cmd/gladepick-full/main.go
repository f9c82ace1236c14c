// Command gladepick-full has the features of gladepick that need large libraries. Users do not call it: gladepick
// replaces its own process with gladepick-full, without arguments to run a dispatcher with recording or durable jobs,
// and with arguments to run the command plan or schema.
package main

import (
	"context"
	"io"
	"os"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/config/document"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/durablejobs"
	"gladepick/internal/dispatcher/instance"
	"gladepick/internal/dispatcher/membership/transport"
	"gladepick/internal/programname"
)

// formerName is the program's former name. The build links it to the program, and its use prints a warning.
const formerName, currentName = "gladepick-plus", "gladepick-full"

func main() {
	programname.WarnIfFormer(os.Stderr, os.Args[0], formerName, currentName)
	cli.Main(run)
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return instance.Run(startRecorder, newDurableJobs)
	}
	root := &cobra.Command{Use: "gladepick", Short: "The commands of gladepick that need large libraries"}
	return cli.Execute(cli.NewRoot(root, planCommand(), schemaCommand()), args, out)
}

// startRecorder attaches a recorder to the dispatcher if NODE_CAPTURE names a capture file. It returns the function
// that stops the recorder, or nil without one. It is an instance.StartRecorder.
func startRecorder(node *config.Node, counters *dispatch.Counters, core *dispatch.Core) (func(context.Context) error, error) {
	path := os.Getenv("NODE_CAPTURE")
	if path == "" {
		return nil, nil
	}
	var err error
	if node.Capture, err = document.ReadCapture(path); err != nil {
		return nil, err
	}
	recorder := capture.NewRecorder(node, counters, core.Clock)
	core.Observer = recorder
	go recorder.Run()
	return recorder.Close, nil
}

// newDurableJobs returns the manager of durable jobs, which are replicated so that they survive the failure of their
// dispatcher. It is an instance.NewDurableJobs.
func newDurableJobs(node *config.Node, members *transport.Transport) (instance.DurableJobs, error) {
	return durablejobs.New(node, members)
}
