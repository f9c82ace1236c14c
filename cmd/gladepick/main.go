// Command gladepick is the dispatcher. Without arguments it runs one, as the
// NODE_ variables say. This file holds flags and wiring only: it must never
// decide anything about a job, a worker or a message.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"ivyfold/internal/amqp"
	"ivyfold/internal/config"
	"ivyfold/internal/dispatch"
	"ivyfold/internal/floor"
	"ivyfold/internal/portal"
	"ivyfold/internal/roster"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "gladepick:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return node()
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// node runs one dispatcher until SIGTERM has been served.
func node() error {
	n, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	n.Limits.Apply()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)

	list := roster.New(n)
	counters := new(dispatch.Counters)
	var desk *amqp.Desk
	var queues dispatch.Floor
	var fixed []config.Worker
	if n.AMQP != nil {
		desk = amqp.New(n, counters)
		queues, fixed = desk, desk.Workers()
	}
	core, err := dispatch.New(n, counters, floor.New(n, counters), queues, list, fixed)
	if err != nil {
		return err
	}
	list.Listed = core.Listed
	front := portal.New(n, core)
	listener, err := net.Listen("tcp", n.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go core.Run(ctx)
	go list.Run(ctx)
	if desk != nil {
		desk.Core = core
		go desk.Run(ctx)
	}
	broken := make(chan error, 1)
	go func() { broken <- front.Serve(listener) }()
	log.Printf("%s serves on %s", n.Name, n.Listen)
	for {
		select {
		case err := <-broken:
			return errors.Join(errors.New("the portal has ended"), err)
		case <-asked:
			log.Print(core.Line())
			continue
		case <-stopped:
		}
		break
	}
	// New connections keep coming for a while after SIGTERM: they are served, and told to go elsewhere afterwards.
	front.Leave()
	if desk != nil {
		desk.Leave()
	}
	time.Sleep(n.Limits.Farewell)
	late, done := context.WithTimeout(context.Background(), n.Limits.MostPatience)
	defer done()
	if err := front.Farewell(late); err != nil {
		return err
	}
	if desk != nil {
		if err := desk.Settled(late); err != nil {
			return err
		}
	}
	log.Print(core.Line())
	return nil
}
