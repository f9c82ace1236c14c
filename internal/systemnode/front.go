package systemnode

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane"
	"gladepick/internal/ingress"
	"gladepick/internal/message"
	"gladepick/internal/messagestore"
	"gladepick/internal/systemnode/inspection"
)

// Front is a front process: it takes clients' messages, and on machines that have a disk it may be a member of the
// control group.
type Front struct {
	*node
	plane      *controlplane.Plane
	stores     *messagestore.Client
	ingress    *ingress.Front
	table      atomic.Pointer[configuration.Table]
	lastStored atomic.Int64 // when a message was last kept, in nanoseconds since the process's start
	started    time.Time
	metrics    *inspection.Registry
}

// NewFront makes a front. Run starts it.
func NewFront(options Options) (*Front, error) {
	base, err := newNode(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Front{node: base, started: time.Now()}
	if err := base.newAgent(f.announce); err != nil {
		return nil, trace.Wrap(err)
	}
	plane, err := controlplane.New(controlplane.Options{
		Info:           base.info,
		Network:        options.Network,
		Pool:           base.pool,
		Server:         base.server,
		FS:             options.FS,
		Bootstrap:      base.settings.Bootstrap,
		Tolerated:      base.settings.FaultTolerance.Machines,
		ToleratedZones: base.settings.FaultTolerance.Zones,
		Seeds:          base.settings.Seeds,
		InternalPort:   base.settings.InternalPorts.First,
		CloudAddress:   base.settings.Cloud.Address,
		Agent:          base.agent,
		Logger:         base.logger,
		Seed:           options.Seed,
	})
	if err != nil {
		return nil, trace.Wrap(err, "opening the control plane")
	}
	f.plane = plane
	f.metrics = base.newMetrics()
	return f, nil
}

// SetCloudAddress changes where the platform's list of workers is read from.
func (f *Front) SetCloudAddress(address string) { f.plane.SetCloudAddress(address) }

func (f *Front) announce() cluster.NodeInfo {
	info := f.info
	info.Draining = f.draining.Load()
	return info
}

// Run serves until the context ends, then drains and returns.
func (f *Front) Run(ctx context.Context) error {
	alive, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer f.close()
	defer stop()
	f.stores = messagestore.NewClient(f.settings.Zone, f.pool, f.agent.Table, func(report cluster.FailureReport) {
		f.report(alive, report)
	})
	f.agent.Subscribe(f.applySnapshots)
	f.ingress = ingress.NewFront(f.ingressOptions())
	f.metrics.Add(func(samples *inspection.Samples) { collectIngress(samples, f.ingress.Counters(), f.ready()) })
	if err := f.serveInternal(alive); err != nil {
		return trace.Wrap(err)
	}
	f.running.Go(func() { f.plane.Run(alive) })
	f.watchSettings(alive, f)
	if err := f.listen(alive); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	f.drain(alive)
	return nil
}

// changed takes new snapshots of the agent in.
func (f *Front) applySnapshots() {
	document := f.agent.Config()
	if document == nil {
		return
	}
	if table := f.table.Load(); table == nil || table.Version < document.Version() {
		f.table.Store(document.Table())
	}
}

func (f *Front) ingressOptions() ingress.Options {
	return ingress.Options{
		Messages:         storedTimeRecorder{MessageStore: f.stores, stored: f.noteStored},
		Control:          f.agent,
		Configuration:    f.table.Load,
		Ready:            f.ready,
		Logger:           f.logger,
		MaxBufferedBytes: int64(f.settings.Limits.MemoryMB) * bytesPerMegabyte / ingressDivisor,
	}
}

func (f *Front) noteStored() { f.lastStored.Store(int64(time.Since(f.started))) }

// ready tells whether a message could be kept now: there is a configuration and a group of stores, and the control
// plane or the stores have lately answered.
func (f *Front) ready() bool {
	if f.draining.Load() || f.table.Load() == nil || !f.stores.Ready() {
		return false
	}
	kept := time.Duration(f.lastStored.Load())
	return f.agent.Fresh() || kept > 0 && time.Since(f.started)-kept < readyAfterStored
}

// listen opens the listeners for clients, the platform's probe and the operator.
func (f *Front) listen(ctx context.Context) error {
	addresses := f.settings.ListenAddresses
	if addresses.Front != "" {
		listener, err := f.options.Network.Listen(addresses.Front)
		if err != nil {
			return trace.Wrap(err, "listening for clients")
		}
		f.running.Go(func() { f.logEnd("clients", f.ingress.Serve(ctx, listener)) })
	}
	options := f.ingressOptions()
	if err := f.serveHTTP(ctx, addresses.Ready, ingress.NewReadyHandler(options)); err != nil {
		return err
	}
	control := f.withInspection(f.metrics, ingress.NewControlHandler(options))
	return f.serveHTTP(ctx, addresses.Control, control)
}

func (f *Front) logEnd(listener string, err error) {
	if err != nil {
		f.logger.Error("listener ended", zap.String("listener", listener), zap.Error(err))
	}
}

// serveHTTP serves one of the smaller listeners until the context ends.
func (f *Front) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	var listener net.Listener
	listener, err := f.options.Network.Listen(address)
	if err != nil {
		return trace.Wrap(err, "listening at "+address)
	}
	server := ingress.NewServer(handler, f.logger)
	context.AfterFunc(ctx, func() { server.Close() })
	f.running.Go(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			f.logEnd(address, err)
		}
	})
	return nil
}

// drain answers what was read and leaves.
func (f *Front) drain(ctx context.Context) {
	f.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, f.settings.Bounds.Grace-exitReserve)
	defer cancel()
	if err := f.ingress.Drain(ctx); err != nil {
		f.logger.Warn("draining", zap.Error(err))
	}
}

// keepingTime notes when messages are kept.
type storedTimeRecorder struct {
	ingress.MessageStore
	stored func()
}

// Put implements ingress.MessageStore.
func (k storedTimeRecorder) Put(
	ctx context.Context, submission message.Submission, ordered bool, body []byte,
) (string, error) {
	id, err := k.MessageStore.Put(ctx, submission, ordered, body)
	if err == nil {
		k.stored()
	}
	return id, err
}
