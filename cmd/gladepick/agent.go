package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/snmp"
)

func agentCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "agent FILE",
		Short:   "Keep the instances of an operator's file running; serve SNMP",
		Example: "  gladepick agent deploy/agent.toml",
		Args:    cli.ExactArgs(1, "one file"),
		RunE:    func(_ *cobra.Command, args []string) error { return runAgent(args[0]) },
	}
}

// runAgent runs an agent until SIGTERM, and then until its instances have left.
func runAgent(path string) error {
	conf, err := config.LoadAgent(path)
	if err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	a := agent.New(conf)
	// Questions are answered until the last instance has left.
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	ended, err := serveQuestions(serving, a, conf)
	if err != nil {
		return err
	}
	go passReloads(reloads, a)
	log.Printf("the agent keeps %d instances and answers on %s", len(conf.Instances), conf.Control)
	go func() {
		if err := <-ended; err != nil {
			log.Printf("a listener of the agent has ended: %v", err)
			stop()
		}
	}()
	a.Run(ctx)
	return nil
}

// serveQuestions opens the agent's listeners and serves them until ctx ends. The channel gets why each has ended.
func serveQuestions(ctx context.Context, a *agent.Agent, conf *config.Agent) (<-chan error, error) {
	control, err := net.Listen("tcp", conf.Control)
	if err != nil {
		return nil, fmt.Errorf("agent.control: %w", err)
	}
	ended := make(chan error, 2)
	go func() { ended <- a.Serve(ctx, control) }()
	if conf.SNMP == "" {
		return ended, nil
	}
	conn, err := net.ListenPacket("udp", conf.SNMP)
	if err != nil {
		return nil, fmt.Errorf("snmp.listen: %w", err)
	}
	go func() { ended <- snmp.New(a, conf).Serve(ctx, conn) }()
	return ended, nil
}

// passReloads passes each signal on to all instances. The agent's own file holds until its next start.
func passReloads(signals <-chan os.Signal, a *agent.Agent) {
	for range signals {
		for _, s := range a.Statuses() {
			if err := a.Reload(s.Name); err != nil {
				log.Printf("reload: %v", err)
			}
		}
	}
}
