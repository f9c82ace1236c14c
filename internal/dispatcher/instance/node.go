// Package instance runs one dispatcher: it wires its parts together, listens to
// signals and sees it out. It must never decide anything about a job, nor need
// anything of a command line.
package instance

import (
	"context"
	"errors"
	"log"
	"net"
	"os"
	"os/signal"
	"strings"
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

// Record puts an observer on the core before it runs, and gives what ends it once the core has ended.
type StartRecorder func(*config.Node, *dispatch.Counters, *dispatch.Core) (end func(context.Context) error, err error)

// Keeper stands between the fronts, the core and the floors where jobs are taken for keeps.
type DurableJobs interface {
	dispatch.Submitter
	WrapTransport(dispatch.Transport) dispatch.Transport // what stands before a floor; nil for none
	Run(context.Context, *dispatch.Core)                 // from before the first job on
	Status(ctx context.Context, key string) (any, bool)
	Shutdown(context.Context) // gives up what this dispatcher has
}

// Keep makes a keeper for a node whose operator's file asks for one.
type NewDurableJobs func(*config.Node, *transport.Transport) (DurableJobs, error)

// Run runs one dispatcher until SIGTERM has been served. record and keep may be nil.
func Run(record StartRecorder, keep NewDurableJobs) error {
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

	list := discovery.New(n)
	counters := new(dispatch.Counters)
	var desk *amqp.Adapter
	var queues dispatch.Transport
	var fixed []config.Worker
	if n.AMQP != nil {
		desk = amqp.New(n, counters)
		queues, fixed = desk, desk.Workers()
	}
	var members *transport.Transport
	if n.Membership != nil {
		if members, err = transport.New(n); err != nil {
			return err
		}
	}
	var floors dispatch.Transport = workerhttp.New(n, counters)
	var keeper DurableJobs
	if n.DurableJobs != nil {
		if keep == nil {
			return errors.New("NODE_PROMISES: this program cannot keep promises: gladepick-full can")
		}
		if keeper, err = keep(n, members); err != nil {
			return err
		}
		floors, queues = keeper.WrapTransport(floors), keeper.WrapTransport(queues)
	}
	core, err := dispatch.New(n, counters, floors, queues, list, fixed)
	if err != nil {
		return err
	}
	list.OnList = core.UpdateWorkers
	var recorded func(context.Context) error
	if record != nil {
		if recorded, err = record(n, counters, core); err != nil {
			return err
		}
	}
	front := clienthttp.New(n, core)
	var jobs dispatch.Submitter = core
	if members != nil {
		front.Members = func(ctx context.Context) (any, bool) { return members.Status(ctx) }
	}
	if keeper != nil {
		jobs, front.Jobs, front.Leases = keeper, keeper, keeper.Status
	}
	listener, err := net.Listen("tcp", n.Listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go core.Run(ctx)
	go list.Run(ctx)
	if desk != nil {
		desk.Jobs, desk.Durable = jobs, keeper != nil
		go desk.Run(ctx)
	}
	if members != nil {
		go members.Run(ctx)
	}
	if keeper != nil {
		go keeper.Run(ctx, core)
	}
	broken := make(chan error, 1)
	go func() { broken <- front.Serve(listener) }()
	go func() { // to the last moment: what has been taken is still sent on by the list, also while leaving
		for range reloads {
			reload(n, list)
		}
	}()
	log.Printf("%s serves on %s", n.Name, n.Listen)
	var fault error
	for leaving := false; !leaving; {
		select {
		case err := <-broken: // what has been taken is owed its answer all the same
			fault = errors.Join(errors.New("the portal has ended"), err)
			log.Print(fault)
			leaving = true
		case <-asked:
			log.Print(core.CountersLine())
		case <-stopped:
			leaving = true
		}
	}
	// New connections keep coming for a while after SIGTERM: they are served, and told to go elsewhere afterwards.
	front.Drain()
	log.Printf("%s is leaving", n.Name)
	if desk != nil {
		desk.Drain()
	}
	if members != nil {
		members.Draining(ctx)
	}
	time.Sleep(n.Limits.DrainDelay)
	late, done := context.WithTimeout(context.Background(), n.Limits.MaxJobTimeout)
	defer done()
	err = errors.Join(fault, front.Shutdown(late))
	if desk != nil {
		err = errors.Join(err, desk.Wait(late))
	}
	if keeper != nil {
		keeper.Shutdown(late)
	}
	if members != nil {
		members.Leave(late)
	}
	if recorded != nil {
		cancel()
		core.Wait()
		err = errors.Join(err, recorded(late))
	}
	log.Print(core.CountersLine())
	return err
}

// reload reads the configuration again and carries over what may change while jobs are open.
func reload(n *config.Node, list *discovery.Watcher) {
	later, err := config.Reload(os.Getenv)
	if err != nil {
		log.Printf("reload: the old settings stay: %v", err)
		return
	}
	if n.SharesNoClass(later) { // its discovery would know none of the workers that jobs are at
		log.Printf("reload: the old settings stay: NODE_CONFIG: %s: key settings.classes: none of %s is a class of this dispatcher",
			os.Getenv("NODE_CONFIG"), strings.Join(later.Classes, ", "))
		return
	}
	if keys := n.ChangedKeys(later); len(keys) > 0 {
		log.Printf("reload: a change of %s holds from the next start on", strings.Join(keys, ", "))
	}
	list.SetAddress(later.Discovery)
	log.Printf("reload: discovery is at %s", later.Discovery)
}
