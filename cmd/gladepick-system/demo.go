package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/network"
	"gladepick/internal/operatorcli"
	"gladepick/internal/systemnode"
	"gladepick/internal/systemnode/demo"
)

// Defaults of the command demo. With them, the system tolerates the loss of one front and one store, and a store can be
// retired.
const (
	demoFronts    = "3"
	demoStores    = "4"
	demoPort      = "18080"
	demoTolerated = 1
)

func registerDemo(application *kingpin.Application, commands operatorcli.Commands, out io.Writer) {
	command := application.Command("demo", "Run a whole system in this process, with stand-in workers, to try it out.")
	fronts := command.Flag("fronts", "Number of fronts, each a control member too.").Default(demoFronts).Int()
	stores := command.Flag("stores", "Number of stores.").Default(demoStores).Int()
	port := command.Flag("port", "First of seven ports that are used on loopback addresses.").Default(demoPort).Int()
	verbose := command.Flag("verbose", "Log details too.").Bool()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		folder, err := os.MkdirTemp("", "gladepick-demo-")
		if err != nil {
			return trace.Wrap(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
		defer stop()
		level := logLevel(*verbose, zap.WarnLevel)
		options := demo.Options{
			Fronts:          *fronts,
			Stores:          *stores,
			ToleratedLosses: demoTolerated,
			FirstPort:       *port,
			Directory:       folder,
			Network:         func(string) network.Network { return network.TCP{} },
			Logger:          func(process string) (*zap.Logger, error) { return systemnode.NewLogger(process, level) },
		}
		return demo.Run(ctx, options, func(addresses demo.Addresses) {
			fmt.Fprint(out, demoText(options, addresses))
		})
	}
}

// demoText returns the instructions that are printed once the demonstration runs.
func demoText(options demo.Options, addresses demo.Addresses) string {
	client, control := addresses.Clients[0], addresses.Control[0]
	lines := []string{
		fmt.Sprintf("The system runs: %d fronts, %d stores, tolerated losses %d. Its files are in %s.",
			options.Fronts, options.Stores, options.ToleratedLosses, options.Directory),
		"",
		"Send a message:",
		fmt.Sprintf("  curl -i -H 'Host: %s' -H 'X-Request-Id: first' -d hello http://%s%s",
			demo.RouteHost, client, demo.RoutePath),
		"Ask how it stands, by the X-Message-Id of the answer:",
		fmt.Sprintf("  %s message show --address %s ID", programName, client),
		"Look at the system:",
		fmt.Sprintf("  %s status --address %s", programName, control),
		"",
		"Clients' addresses: " + strings.Join(addresses.Clients, " "),
		"Control addresses:  " + strings.Join(addresses.Control, " "),
		"Ctrl-C ends it.",
	}
	return strings.Join(lines, "\n") + "\n"
}
