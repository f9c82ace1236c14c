package systemnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane"
	"gladepick/internal/ingress"
	"gladepick/internal/messagestore/client"
	"gladepick/internal/systemnode/inspection"
)

// Front is a front process. It receives messages from clients. On a machine that has a disk and counts for the quorum,
// it is also a member of the control group.
type Front struct {
	*node
	plane      *controlplane.Plane
	stores     *client.Client
	ingress    *ingress.Front
	table      atomic.Pointer[configuration.Table]
	lastStored atomic.Int64 // time of the last stored message, in nanoseconds since started; 0 for none
	started    time.Time
	metrics    *inspection.Registry
}

// NewFront opens the state of the control plane and connects the components of a front. Run starts them.
func NewFront(options Options) (*Front, error) {
	base, err := newNode(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &Front{node: base, started: time.Now()}
	if err := base.newAgent(f.announce); err != nil {
		return nil, trace.Wrap(err)
	}
	if f.plane, err = controlplane.New(f.planeOptions()); err != nil {
		return nil, trace.Wrap(err, "opening the control plane")
	}
	f.metrics = base.newMetrics()
	return f, nil
}

func (f *Front) planeOptions() controlplane.Options {
	return controlplane.Options{
		Info:                f.info,
		Network:             f.options.Network,
		Pool:                f.pool,
		Server:              f.server,
		FS:                  f.options.FS,
		Bootstrap:           f.settings.Bootstrap,
		ToleratedLosses:     f.settings.FaultTolerance.Machines,
		ToleratedZoneLosses: f.settings.FaultTolerance.Zones,
		Seeds:               f.settings.Seeds,
		InternalPort:        f.settings.InternalPorts.First,
		PlatformAddress:     f.settings.Cloud.Address,
		Agent:               f.agent,
		Logger:              f.logger,
		Seed:                f.options.Seed,
	}
}

// SetPlatformAddress sets the address from which the control plane reads the platform's worker list.
func (f *Front) SetPlatformAddress(address string) { f.plane.SetPlatformAddress(address) }

// announce returns the node info that the agent sends with every renewal of the front's lease.
func (f *Front) announce() cluster.NodeInfo {
	info := f.info
	info.Draining = f.draining.Load()
	return info
}

// Run serves until the context ends, then drains and returns. It must be called once. It returns an error only if a
// listener can't be opened.
func (f *Front) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer f.close()
	defer stop()
	f.stores = client.New(f.settings.Zone, f.pool, f.agent.Table, func(report cluster.FailureReport) {
		f.report(runCtx, report)
	})
	f.agent.Subscribe(f.applySnapshots)
	f.ingress = ingress.NewFront(f.ingressOptions())
	f.metrics.Add(func(samples *inspection.Samples) {
		collectIngress(samples, f.ingress.Counters(), f.ready())
		collectMemory(samples, f.settings.Limits.MemoryMB)
	})
	if err := f.serveInternal(runCtx); err != nil {
		return trace.Wrap(err)
	}
	f.running.Go(func() { f.plane.Run(runCtx) })
	f.watchSettings(runCtx, f)
	if err := f.listen(runCtx); err != nil {
		return trace.Wrap(err)
	}
	<-ctx.Done()
	f.drain(runCtx)
	return nil
}

// applySnapshots loads the agent's newest configuration, unless the front already has this version or a newer one. The
// agent calls it after each change, from one goroutine at a time.
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
		Messages:         storedTimeRecorder{MessageStore: f.stores, stored: f.recordStored},
		Control:          f.agent,
		Configuration:    f.table.Load,
		Ready:            f.ready,
		Logger:           f.logger,
		MaxBufferedBytes: int64(f.settings.Limits.MemoryMB) * bytesPerMegabyte / ingressDivisor,
	}
}

// drain answers the requests that have been received. It gives up exitReserve before the grace period ends.
func (f *Front) drain(ctx context.Context) {
	f.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, f.settings.Bounds.Grace-exitReserve)
	defer cancel()
	if err := f.ingress.Drain(ctx); err != nil {
		f.logger.Warn("draining the client connections failed", zap.Error(err))
	}
}
