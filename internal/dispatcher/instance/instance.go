// Package instance runs one dispatcher as a process: it reads the settings, wires
// the dispatcher's parts together, serves the process's signals and sees the
// dispatcher out. What becomes of a job is decided elsewhere, and no command
// line is needed.
//
// Run has the goroutine that it is called on; it starts one for each part, and
// one for SIGHUP, which is served up to the process's end. Parts that an
// operator may leave out are nil in an instance.
//
// Start reading at Run.
package instance

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"gladepick/internal/dispatcher/amqp"
	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/membership/transport"
	"gladepick/internal/dispatcher/workerhttp"
)

// errFrontEnded is the error of Run where the clients' listener has failed for good.
var errFrontEnded = errors.New("the portal has ended")

// StartRecorder puts an observer on the core before it runs. It returns what ends the observer once the core has ended,
// nil where nothing is recorded.
type StartRecorder func(*config.Node, *dispatch.Counters, *dispatch.Core) (end func(context.Context) error, err error)

// DurableJobs stands between the fronts, the core and the transports where jobs outlive their dispatcher.
type DurableJobs interface {
	dispatch.Submitter
	// WrapTransport returns what stands before a transport, nil before none.
	WrapTransport(dispatch.Transport) dispatch.Transport
	// Run is called before the first job, and returns when ctx ends.
	Run(context.Context, *dispatch.Core)
	// Status returns what GET /leases shows, and false once Run has ended.
	Status(ctx context.Context, key string) (any, bool)
	// Shutdown hands over what this dispatcher has.
	Shutdown(context.Context)
}

// NewDurableJobs makes the durable jobs of a node whose settings ask for them.
type NewDurableJobs func(*config.Node, *transport.Transport) (DurableJobs, error)

// instance is one dispatcher's parts.
type instance struct {
	node    *config.Node
	core    *dispatch.Core
	watcher *discovery.Watcher
	front   *clienthttp.Server

	broker      *amqp.Adapter               // nil: no broker
	members     *transport.Transport        // nil: no membership
	durableJobs DurableJobs                 // nil: jobs end with their dispatcher
	endRecorder func(context.Context) error // nil: nothing is recorded
}

// Run runs one dispatcher until SIGTERM or an interrupt has been served. Either function may be nil: then nothing is
// recorded, and settings that ask for durable jobs are an error.
func Run(startRecorder StartRecorder, newDurableJobs NewDurableJobs) error {
	reloads := notifyOn(syscall.SIGHUP) // from the first: by itself this signal would end the program
	node, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	node.Limits.Apply()
	stops := notifyOn(syscall.SIGTERM, os.Interrupt)
	prints := notifyOn(syscall.SIGUSR1)
	i, err := assemble(node, startRecorder, newDurableJobs)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", node.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	frontEnded := i.start(ctx, listener)
	go i.serveReloads(reloads)
	log.Printf("%s serves on %s", node.Name, node.Listen)
	fault := i.awaitStop(frontEnded, stops, prints)
	return i.shutdown(ctx, cancel, fault)
}

// notifyOn returns a channel that gets the signals; one that comes while another waits there is dropped.
func notifyOn(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// assemble makes the parts and wires them together. Nothing runs yet.
func assemble(node *config.Node, startRecorder StartRecorder, newDurableJobs NewDurableJobs) (*instance, error) {
	i := &instance{node: node, watcher: discovery.New(node)}
	counters := new(dispatch.Counters)
	var queues dispatch.Transport
	var queueWorkers []config.Worker
	if node.AMQP != nil {
		i.broker = amqp.New(node, counters)
		queues, queueWorkers = i.broker, i.broker.Workers()
	}
	var err error
	if node.Membership != nil {
		if i.members, err = transport.New(node); err != nil {
			return nil, err
		}
	}
	var workers dispatch.Transport = workerhttp.New(node, counters)
	if node.DurableJobs != nil {
		if newDurableJobs == nil {
			return nil, errors.New("NODE_PROMISES: this program cannot keep promises: gladepick-full can")
		}
		if i.durableJobs, err = newDurableJobs(node, i.members); err != nil {
			return nil, err
		}
		workers, queues = i.durableJobs.WrapTransport(workers), i.durableJobs.WrapTransport(queues)
	}
	if i.core, err = dispatch.New(node, counters, workers, queues, i.watcher, queueWorkers); err != nil {
		return nil, err
	}
	i.watcher.OnList = i.core.UpdateWorkers
	if startRecorder != nil {
		if i.endRecorder, err = startRecorder(node, counters, i.core); err != nil {
			return nil, err
		}
	}
	i.assembleFronts()
	return i, nil
}

// assembleFronts makes the clients' sides, and connects them with what takes the jobs.
func (i *instance) assembleFronts() {
	i.front = clienthttp.New(i.node, i.core)
	var jobs dispatch.Submitter = i.core
	if i.members != nil {
		i.front.Members = func(ctx context.Context) (any, bool) { return i.members.Status(ctx) }
	}
	if i.durableJobs != nil {
		jobs, i.front.Jobs, i.front.Leases = i.durableJobs, i.durableJobs, i.durableJobs.Status
	}
	if i.broker != nil {
		i.broker.Jobs, i.broker.Durable = jobs, i.durableJobs != nil
	}
}

// start sets the parts to work until ctx ends, and the front until it is shut down. The channel gets the front's error.
func (i *instance) start(ctx context.Context, listener net.Listener) <-chan error {
	go i.core.Run(ctx)
	go i.watcher.Run(ctx)
	if i.broker != nil {
		go i.broker.Run(ctx)
	}
	if i.members != nil {
		go i.members.Run(ctx)
	}
	if i.durableJobs != nil {
		go i.durableJobs.Run(ctx, i.core)
	}
	ended := make(chan error, 1)
	go func() { ended <- i.front.Serve(listener) }()
	return ended
}

// awaitStop serves the signals until the dispatcher is to end: as it was told to, or because the front has failed, which
// is its error.
func (i *instance) awaitStop(frontEnded <-chan error, stops, prints <-chan os.Signal) error {
	for {
		select {
		case err := <-frontEnded: // what has been taken is owed its answer all the same
			fault := errors.Join(errFrontEnded, err)
			log.Print(fault)
			return fault
		case <-prints:
			log.Print(i.core.CountersLine())
		case <-stops:
			return nil
		}
	}
}

// shutdown sees the dispatcher out: every job that was taken is answered. cancel ends the parts' context. The error joins
// fault with what went wrong here.
func (i *instance) shutdown(ctx context.Context, cancel context.CancelFunc, fault error) error {
	// New connections keep coming for a while after SIGTERM: they are served, and told to go elsewhere afterwards.
	i.front.Drain()
	log.Printf("%s is leaving", i.node.Name)
	if i.broker != nil {
		i.broker.Drain()
	}
	if i.members != nil {
		i.members.AnnounceDraining(ctx)
	}
	time.Sleep(i.node.Limits.DrainDelay)
	late, done := context.WithTimeout(context.Background(), i.node.Limits.MaxJobTimeout)
	defer done()
	err := errors.Join(fault, i.front.Shutdown(late))
	if i.broker != nil {
		err = errors.Join(err, i.broker.Wait(late))
	}
	if i.durableJobs != nil {
		i.durableJobs.Shutdown(late)
	}
	if i.members != nil {
		i.members.Leave(late)
	}
	if i.endRecorder != nil {
		cancel()
		i.core.Wait()
		err = errors.Join(err, i.endRecorder(late))
	}
	log.Print(i.core.CountersLine())
	return err
}
