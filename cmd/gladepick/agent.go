// The command `agent`: wiring of the parts that keep instances running. It must
// never take a job, nor start anything that the operator's file does not name.

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
		RunE:    func(_ *cobra.Command, args []string) error { return supervise(args[0]) },
	}
}

// supervise runs an agent until SIGTERM, and then until its instances have left.
func supervise(path string) error {
	conf, err := config.LoadAgent(path)
	if err != nil {
		return err
	}
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	a := agent.New(conf)
	control, err := net.Listen("tcp", conf.Control)
	if err != nil {
		return fmt.Errorf("agent.control: %w", err)
	}
	// Questions are answered until the last instance has left.
	serving, over := context.WithCancel(context.Background())
	defer over()
	failed := make(chan error, 2)
	go func() { failed <- a.Serve(serving, control) }()
	if conf.SNMP != "" {
		conn, err := net.ListenPacket("udp", conf.SNMP)
		if err != nil {
			return fmt.Errorf("snmp.listen: %w", err)
		}
		go func() { failed <- snmp.New(a, conf).Serve(serving, conn) }()
	}
	go func() {
		for range reloads { // the agent's own file holds until its next start; its instances read theirs again
			for _, s := range a.Statuses() {
				if err := a.Reload(s.Name); err != nil {
					log.Printf("reload: %v", err)
				}
			}
		}
	}()
	log.Printf("the agent keeps %d instances and answers on %s", len(conf.Instances), conf.Control)
	go func() {
		if err := <-failed; err != nil {
			log.Printf("a listener of the agent has ended: %v", err)
			stop()
		}
	}()
	a.Run(ctx)
	return nil
}
