package systemnode

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/workerlist"
	"gladepick/internal/delivery"
	"gladepick/internal/messagestore"
)

// Store is a store process. It stores messages and delivers those of the partitions whose primary it is.
type Store struct {
	*node
	messages        *messagestore.Store
	engine          *delivery.Engine
	platformClient  *http.Client
	platformAddress atomic.Pointer[string] // where the platform's worker list is read
	engineVersion   uint64                 // version of the configuration that was last passed to the engine
	leadingStores   atomic.Int64           // number of stores that are the primary of a partition
}

// NewStore opens the message log and connects the components of a store. Run starts them. If the options contain no
// FS, since the settings name no data directory, NewStore returns a BadParameter error.
func NewStore(options Options) (*Store, error) {
	base, err := newNode(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if options.FS == nil {
		return nil, trace.BadParameter("settings: data-dir: missing, but a store requires it")
	}
	s := &Store{node: base, platformClient: workerlist.NewPlatformClient(options.Network)}
	if err := base.newAgent(s.announce); err != nil {
		return nil, trace.Wrap(err)
	}
	s.SetPlatformAddress(base.settings.Cloud.Address)
	if s.messages, err = messagestore.Open(s.messageOptions()); err != nil {
		return nil, trace.Wrap(err)
	}
	s.engine = delivery.New(s.deliveryOptions())
	base.newMetrics().Add(s.collectStore)
	return s, nil
}

func (s *Store) messageOptions() messagestore.Options {
	limits := s.settings.Limits
	return messagestore.Options{
		Name:              s.info.Name,
		DiskID:            s.info.DiskID,
		FS:                s.options.FS,
		Pool:              s.pool,
		Server:            s.server,
		Control:           s.agent,
		Logger:            s.logger,
		ReplicationFactor: s.settings.FaultTolerance.Machines + 1,
		StatusRetention:   s.settings.Bounds.Status + statusReserve,
		DiskBytes:         int64(limits.DiskMB) * bytesPerMegabyte,
		CacheBytes:        int64(limits.MemoryMB) * bytesPerMegabyte / cacheDivisor,
	}
}

func (s *Store) deliveryOptions() delivery.Options {
	return delivery.Options{
		Name:        s.info.Name,
		Zone:        s.info.Zone,
		Network:     s.options.Network,
		Owner:       s.messages,
		Logger:      s.logger,
		Seed:        s.options.Seed,
		DrainGrace:  s.settings.Bounds.Drain,
		CallerCount: s.callerCount,
	}
}

// announce returns the node info that the agent sends with every renewal of the store's lease.
func (s *Store) announce() cluster.NodeInfo {
	info := s.info
	info.CollectsMessages = true
	info.Draining = s.draining.Load()
	info.DiskFailing = s.messages.DiskFailing()
	return info
}

// callerCount returns the number of stores that share the connections and slots of each worker: the stores that are
// the primary of a partition. It is at least 1.
func (s *Store) callerCount() int { return max(int(s.leadingStores.Load()), 1) }

// Run serves until the context ends, then hands over the store's partitions and returns. It must be called once. It
// returns an error only if the internal listener can't be opened.
func (s *Store) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer s.close()
	defer s.closeMessages()
	defer stop()
	s.running.Go(func() { s.engine.Run(runCtx) })
	s.messages.Start(s.engine)
	s.agent.Subscribe(s.applySnapshots)
	if err := s.serveInternal(runCtx); err != nil {
		return trace.Wrap(err)
	}
	s.running.Go(func() { s.watchWorkers(runCtx) })
	s.watchSettings(runCtx, s)
	<-ctx.Done()
	s.drain(runCtx)
	return nil
}

// drain hands over the partitions whose primary the store is. It gives up exitReserve before the grace period ends.
func (s *Store) drain(ctx context.Context) {
	s.draining.Store(true)
	ctx, cancel := context.WithTimeout(ctx, s.settings.Bounds.Grace-exitReserve)
	defer cancel()
	s.messages.Drain(ctx)
}

func (s *Store) closeMessages() {
	if err := s.messages.Close(); err != nil {
		s.logger.Warn("closing the message log failed", zap.Error(err))
	}
}

// applySnapshots passes the agent's newest snapshots to the delivery engine and the message store. The agent calls it
// after each change, from one goroutine at a time.
func (s *Store) applySnapshots() {
	if document := s.agent.Config(); document != nil && document.Version() > s.engineVersion {
		s.engineVersion = document.Version()
		s.engine.SetConfiguration(document.Table())
	}
	if workers := s.agent.Workers(); workers != nil {
		s.engine.SetWorkers(workers.Workers)
	}
	if table := s.agent.Table(); table != nil {
		s.leadingStores.Store(int64(table.LeadingStores()))
		s.engine.SetRateDivisor(table.LimitDivisor(s.info.Name))
		s.messages.ApplyTable(table)
	}
}
