// Command gladepick-full is the part of gladepick that needs large libraries. It
// is not called by hand: gladepick hands over to it, for a dispatcher that is
// recorded or has durable jobs (without arguments) and for the commands plan and
// schema.
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

// startRecorder puts a recorder on a dispatcher whose operator's file asks for one. It is an instance.StartRecorder.
func startRecorder(n *config.Node, counters *dispatch.Counters, core *dispatch.Core) (func(context.Context) error, error) {
	path := os.Getenv("NODE_CAPTURE")
	if path == "" {
		return nil, nil
	}
	var err error
	if n.Capture, err = document.ReadCapture(path); err != nil {
		return nil, err
	}
	r := capture.NewRecorder(n, counters, core.Clock)
	core.Observer = r
	go r.Run()
	return r.Close, nil
}

// newDurableJobs makes jobs outlive their dispatcher. It is an instance.NewDurableJobs.
func newDurableJobs(n *config.Node, members *transport.Transport) (instance.DurableJobs, error) {
	return durablejobs.New(n, members)
}
