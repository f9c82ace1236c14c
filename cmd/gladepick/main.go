// Command gladepick is the dispatcher and its operator's tool. Without
// arguments it runs one dispatcher, as the NODE_ variables say; with them it
// runs an agent or asks one. This file holds flags and wiring only: it must
// never decide anything about a job, a worker or a message.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"ivyfold/internal/agent"
	"ivyfold/internal/amqp"
	"ivyfold/internal/config"
	"ivyfold/internal/dispatch"
	"ivyfold/internal/floor"
	"ivyfold/internal/portal"
	"ivyfold/internal/roster"
	"ivyfold/internal/snmp"
)

const usage = `usage:
  gladepick                                  run one dispatcher, as the NODE_ variables say
  gladepick agent FILE                       keep the instances of an operator's file running; serve SNMP
  gladepick status   [-agent ADDR] [NAME...] what the instances do
  gladepick counters [-agent ADDR] [NAME...] what they count
  gladepick drain    [-agent ADDR] NAME...   tell instances to answer what they have, leave and stay away
  gladepick start    [-agent ADDR] NAME...   bring drained instances back
  gladepick reload   [-agent ADDR] NAME...   tell instances to read their configuration again
`

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "gladepick:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return node()
	}
	switch args[0] {
	case "agent":
		if len(args) != 2 {
			return errors.New("agent needs one file")
		}
		return supervise(args[1])
	case "status", "counters", "drain", "start", "reload":
		flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
		address := flags.String("agent", config.DefaultControl, "where the agent listens for questions")
		if err := flags.Parse(args[1:]); err != nil {
			return err
		}
		return agent.Command(context.Background(), out, *address, args[0], flags.Args())
	case "help", "-h", "-help", "--help":
		fmt.Fprint(out, usage)
		return nil
	}
	return fmt.Errorf("unknown command %q; gladepick help lists them", args[0])
}

// node runs one dispatcher until SIGTERM has been served.
func node() error {
	reloads := make(chan os.Signal, 1) // from the first: by itself this signal would end the program
	signal.Notify(reloads, syscall.SIGHUP)
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
	go func() { // to the last moment: what has been taken is still sent on by the list, also while leaving
		for range reloads {
			reload(n, list)
		}
	}()
	log.Printf("%s serves on %s", n.Name, n.Listen)
	for leaving := false; !leaving; {
		select {
		case err := <-broken:
			return errors.Join(errors.New("the portal has ended"), err)
		case <-asked:
			log.Print(core.Line())
		case <-stopped:
			leaving = true
		}
	}
	// New connections keep coming for a while after SIGTERM: they are served, and told to go elsewhere afterwards.
	front.Leave()
	log.Printf("%s is leaving", n.Name)
	if desk != nil {
		desk.Leave()
	}
	time.Sleep(n.Limits.Farewell)
	late, done := context.WithTimeout(context.Background(), n.Limits.MostPatience)
	defer done()
	err = front.Farewell(late)
	if desk != nil {
		err = errors.Join(err, desk.Settled(late))
	}
	log.Print(core.Line())
	return err
}

// reload reads the configuration again and carries over what may change while jobs are open.
func reload(n *config.Node, list *roster.Roster) {
	later, err := config.Reload(os.Getenv)
	if err != nil {
		log.Printf("reload: the old settings stay: %v", err)
		return
	}
	if keys := n.Fixed(later); len(keys) > 0 {
		log.Printf("reload: a change of %s holds from the next start on", strings.Join(keys, ", "))
	}
	list.Move(later.Discovery)
	log.Printf("reload: discovery is at %s", later.Discovery)
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
