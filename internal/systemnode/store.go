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

// Store is a store process: it stores messages, and delivers those of the partitions that it leads.
type Store struct {
	*node
	messages        *messagestore.Store
	engine          *delivery.Engine
	platformClient  *http.Client
	platformAddress atomic.Pointer[string] // address of the platform's list of workers
	engineVersion   uint64                 // version of the configuration that the engine has
	leadingStores   atomic.Int64           // how many stores lead partitions
}

// NewStore opens the message log and connects the parts of a store. Run starts it. It fails with a BadParameter
// error where the settings name no data directory.
func NewStore(options Options) (*Store, error) {
	base, err := newNode(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if options.FS == nil {
		return nil, trace.BadParameter("settings: data-dir: a store needs one")
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
		CallerCount: s.connectionShare,
	}
}

// announce returns what the agent announces of the store with every renewal of its lease.
func (s *Store) announce() cluster.NodeInfo {
	info := s.info
	info.Draining = s.draining.Load()
	info.DiskFailing = s.messages.DiskFailing()
	return info
}

// connectionShare is the number of stores that share the workers' connections and slots: those that lead
// partitions.
func (s *Store) connectionShare() int { return max(int(s.leadingStores.Load()), 1) }

// Run serves until the context ends, then hands its partitions over and returns. It must be called once. Its
// errors concern the start: a listener that can't be opened.
func (s *Store) Run(ctx context.Context) error {
	alive, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer s.close()
	defer s.closeMessages()
	defer stop()
	s.running.Go(func() { s.engine.Run(alive) })
	s.messages.Start(s.engine)
	s.agent.Subscribe(s.applySnapshots)
	if err := s.serveInternal(alive); err != nil {
		return trace.Wrap(err)
	}
	s.running.Go(func() { s.watchWorkers(alive) })
	s.watchSettings(alive, s)
	<-ctx.Done()
	s.drain(alive)
	return nil
}

// drain hands over the partitions that the store leads, for as long as the grace period allows.
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

// applySnapshots passes new snapshots of the agent on to the delivery engine and the message store. The agent
// calls it from one goroutine at a time.
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
