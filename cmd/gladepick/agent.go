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

// runAgent runs an agent until SIGTERM or SIGINT, and then until its instances have exited. SIGHUP is forwarded to the
// instances.
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
	// The listeners have a context of their own: they serve requests until the last instance has exited.
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	listenerErrors, err := startListeners(serveCtx, a, conf)
	if err != nil {
		return err
	}
	go forwardReloads(reloads, a)
	log.Printf("the agent runs %d instances and listens on %s", len(conf.Instances), conf.Control)
	go func() {
		if err := <-listenerErrors; err != nil {
			log.Printf("a listener of the agent has failed: %v", err)
			stop()
		}
	}()
	a.Run(ctx)
	return nil
}

// startListeners opens the control listener and, if SNMP is configured, the SNMP socket. Both are served until ctx
// ends. The returned channel receives the result of each listener when it stops.
func startListeners(ctx context.Context, a *agent.Agent, conf *config.Agent) (<-chan error, error) {
	control, err := net.Listen("tcp", conf.Control)
	if err != nil {
		return nil, fmt.Errorf("agent.control: %w", err)
	}
	results := make(chan error, 2)
	go func() { results <- a.Serve(ctx, control) }()
	if conf.SNMP == "" {
		return results, nil
	}
	conn, err := net.ListenPacket("udp", conf.SNMP)
	if err != nil {
		return nil, fmt.Errorf("snmp.listen: %w", err)
	}
	go func() { results <- snmp.New(a, conf).Serve(ctx, conn) }()
	return results, nil
}

// forwardReloads has every instance reload its configuration at each signal. The agent does not read its own file again
// until its next start.
func forwardReloads(signals <-chan os.Signal, a *agent.Agent) {
	for range signals {
		for _, status := range a.Statuses() {
			if err := a.Reload(status.Name); err != nil {
				log.Printf("reload: %v", err)
			}
		}
	}
}
