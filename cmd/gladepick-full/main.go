// Command gladepick-full is the part of gladepick that needs large libraries. It
// is not called by hand: gladepick hands over to it, for a dispatcher that is
// recorded or takes jobs for keeps (without arguments) and for the commands plan and schema. This file
// owns that hand-over. It must never decide anything about a job.
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
		return instance.Run(record, keeper)
	}
	return cli.Execute(cli.NewRoot(&cobra.Command{Use: "gladepick", Short: "The commands of gladepick that need large libraries"}, planCommand(), schemaCommand()), args, out)
}

// record puts a recorder on a dispatcher whose operator's file asks for one.
func record(n *config.Node, counters *dispatch.Counters, core *dispatch.Core) (func(context.Context) error, error) {
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

// keeper makes jobs be taken for keeps.
func keeper(n *config.Node, members *transport.Transport) (instance.DurableJobs, error) {
	return durablejobs.New(n, members)
}
