// Package instance runs one dispatcher as a process. It reads the settings, connects
// the dispatcher's components, handles the process's signals and shuts the
// dispatcher down. Other packages decide what happens to a job. The package reads
// no command line.
//
// Run blocks its caller's goroutine. It starts one goroutine for each component,
// and one that handles SIGHUP until the process ends. Optional components that are
// not configured are nil in an instance.
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

// errFrontEnded is the error of Run if the clients' listener fails for good.
var errFrontEnded = errors.New("the portal has ended")

// StartRecorder attaches an observer to the core before the core runs. It returns a function that stops the observer,
// to be called after the core has ended, or nil if nothing is recorded.
type StartRecorder func(*config.Node, *dispatch.Counters, *dispatch.Core) (stop func(context.Context) error, err error)

// DurableJobs connects the fronts, the core and the transports if jobs are to outlive their dispatcher.
type DurableJobs interface {
	dispatch.Submitter
	// WrapTransport returns a transport that wraps the given one, or nil if that is nil.
	WrapTransport(dispatch.Transport) dispatch.Transport
	// Run is called before the first job. It returns when ctx ends.
	Run(context.Context, *dispatch.Core)
	// Status returns the reply to GET /leases, and false once Run has ended.
	Status(ctx context.Context, key string) (any, bool)
	// Shutdown hands this dispatcher's jobs and replicas over to other dispatchers.
	Shutdown(context.Context)
}

// NewDurableJobs creates the durable jobs component of a node whose settings enable it.
type NewDurableJobs func(*config.Node, *transport.Transport) (DurableJobs, error)

// instance holds the components of one dispatcher.
type instance struct {
	node    *config.Node
	core    *dispatch.Core
	watcher *discovery.Watcher
	front   *clienthttp.Server

	broker       *amqp.Adapter               // nil: no broker
	members      *transport.Transport        // nil: no membership
	durableJobs  DurableJobs                 // nil: a job does not outlive its dispatcher
	stopRecorder func(context.Context) error // nil: nothing is recorded
}

// Run runs one dispatcher until SIGTERM, an interrupt or a failure of the clients' listener, and shuts it down then. If
// startRecorder is nil, nothing is recorded. If newDurableJobs is nil, settings that enable durable jobs are an error.
func Run(startRecorder StartRecorder, newDurableJobs NewDurableJobs) error {
	reloadSignals := notifyOn(syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the process
	node, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	node.Limits.Apply()
	stopSignals := notifyOn(syscall.SIGTERM, os.Interrupt)
	counterSignals := notifyOn(syscall.SIGUSR1)
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
	go i.serveReloads(reloadSignals)
	log.Printf("%s serves on %s", node.Name, node.Listen)
	frontErr := i.awaitStop(frontEnded, stopSignals, counterSignals)
	return i.shutdown(ctx, cancel, frontErr)
}

// notifyOn returns a channel that receives the signals. A signal that arrives while another is pending is dropped.
func notifyOn(signals ...os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// assemble creates the components and connects them. It does not start them.
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
			return nil, errors.New("NODE_PROMISES: this program does not support durable jobs; run gladepick-full instead")
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
		if i.stopRecorder, err = startRecorder(node, counters, i.core); err != nil {
			return nil, err
		}
	}
	i.assembleFronts()
	return i, nil
}

// assembleFronts creates the HTTP front and connects the fronts with the component to which they submit jobs: durable
// jobs if enabled, otherwise the core.
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
		i.broker.Jobs, i.broker.DurableJobs = jobs, i.durableJobs != nil
	}
}

// start runs the components until ctx ends, and the front until it is shut down. The channel receives the front's
// error.
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

// awaitStop handles signals until one asks the dispatcher to stop or the front fails. It returns the front's error, or
// nil after a signal.
func (i *instance) awaitStop(frontEnded <-chan error, stopSignals, counterSignals <-chan os.Signal) error {
	for {
		select {
		case err := <-frontEnded: // accepted jobs are still answered: Run shuts down as after a signal
			frontErr := errors.Join(errFrontEnded, err)
			log.Print(frontErr)
			return frontErr
		case <-counterSignals:
			log.Print(i.core.CountersLine())
		case <-stopSignals:
			return nil
		}
	}
}

// shutdown stops the dispatcher after every accepted job has been answered. cancel ends ctx, the context of the
// components. It returns frontErr joined with the errors of the shutdown.
func (i *instance) shutdown(ctx context.Context, cancel context.CancelFunc, frontErr error) error {
	// New connections still arrive for a while after SIGTERM. They are served, and each answer closes its connection.
	i.front.Drain()
	log.Printf("%s is leaving", i.node.Name)
	if i.broker != nil {
		i.broker.Drain()
	}
	if i.members != nil {
		i.members.AnnounceDraining(ctx)
	}
	time.Sleep(i.node.Limits.DrainDelay)
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), i.node.Limits.MaxJobTimeout)
	defer cancelShutdown()
	err := errors.Join(frontErr, i.front.Shutdown(shutdownCtx))
	if i.broker != nil {
		err = errors.Join(err, i.broker.Wait(shutdownCtx))
	}
	if i.durableJobs != nil {
		i.durableJobs.Shutdown(shutdownCtx)
	}
	if i.members != nil {
		i.members.Leave(shutdownCtx)
	}
	if i.stopRecorder != nil {
		cancel()
		i.core.Wait()
		err = errors.Join(err, i.stopRecorder(shutdownCtx))
	}
	log.Print(i.core.CountersLine())
	return err
}
