// Command gladepick-plus is the part of gladepick that needs large libraries. It
// is not called by hand: gladepick hands over to it, for a dispatcher that is
// recorded or takes jobs for keeps (without arguments) and for the commands plan and schema. This file
// owns that hand-over. It must never decide anything about a job.
package main

import (
	"context"
	"io"
	"os"

	"github.com/spf13/cobra"

	"gladepick/internal/capture"
	"gladepick/internal/cli"
	"gladepick/internal/config"
	"gladepick/internal/config/document"
	"gladepick/internal/dispatch"
	"gladepick/internal/keep"
	"gladepick/internal/node"
	"gladepick/internal/peers"
)

func main() { cli.Main(run) }

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return node.Run(record, keeper)
	}
	return cli.Run(cli.Root(&cobra.Command{Use: "gladepick", Short: "The commands of gladepick that need large libraries"}, planCommand(), schemaCommand()), args, out)
}

// record puts a recorder on a dispatcher whose operator's file asks for one.
func record(n *config.Node, counters *dispatch.Counters, core *dispatch.Core) (func(context.Context) error, error) {
	path := os.Getenv("NODE_CAPTURE")
	if path == "" {
		return nil, nil
	}
	var err error
	if n.Capture, err = document.Capture(path); err != nil {
		return nil, err
	}
	r := capture.NewRecorder(n, counters, core.Clock)
	core.Observer = r
	go r.Run()
	return r.Close, nil
}

// keeper makes jobs be taken for keeps.
func keeper(n *config.Node, members *peers.Peers) (node.Keeper, error) { return keep.New(n, members) }
