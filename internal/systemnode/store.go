package systemnode

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane"
	"gladepick/internal/delivery"
	"gladepick/internal/messagestore"
)

// Store is a store process: it keeps messages and delivers those of the partitions that it leads.
type Store struct {
	*node
	messages        *messagestore.Store
	engine          *delivery.Engine
	platformClient  *http.Client
	platformAddress atomic.Pointer[string] // address of the platform's list of workers
	engineVersion   uint64                 // of the configuration that the engine has
	leadingStores   atomic.Int64           // how many stores lead partitions
}

// NewStore makes a store. Run starts it.
func NewStore(options Options) (*Store, error) {
	base, err := newNode(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if options.FS == nil {
		return nil, trace.BadParameter("settings: data-dir: a store needs one")
	}
	s := &Store{node: base, platformClient: controlplane.NewPlatformClient(options.Network)}
	if err := base.newAgent(s.announce); err != nil {
		return nil, trace.Wrap(err)
	}
	s.SetCloudAddress(base.settings.Cloud.Address)
	limits := base.settings.Limits
	s.messages, err = messagestore.Open(messagestore.Options{
		Name:       base.info.Name,
		DiskID:     base.info.DiskID,
		FS:         options.FS,
		Pool:       base.pool,
		Server:     base.server,
		Control:    base.agent,
		Logger:     base.logger,
		Copies:     base.settings.FaultTolerance.Machines + 1,
		StatusFor:  base.settings.Bounds.Status + statusReserve,
		DiskBytes:  int64(limits.DiskMB) * bytesPerMegabyte,
		CacheBytes: int64(limits.MemoryMB) * bytesPerMegabyte / cacheDivisor,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.engine = delivery.New(delivery.Options{
		Name:            base.info.Name,
		Zone:            base.info.Zone,
		Network:         options.Network,
		Owner:           s.messages,
		Logger:          base.logger,
		Seed:            options.Seed,
		Drain:           base.settings.Bounds.Drain,
		ConnectionShare: s.connectionShare,
	})
	base.newMetrics().Add(s.collectStore)
	return s, nil
}

// SetCloudAddress changes where the platform's list of workers is read from while the control plane does not bring it.
func (s *Store) SetCloudAddress(address string) { s.platformAddress.Store(&address) }

func (s *Store) announce() cluster.NodeInfo {
	info := s.info
	info.Draining = s.draining.Load()
	info.DiskFailing = s.messages.DiskFailing()
	return info
}

// callers is by how many stores the connections and slots of workers are divided: those that lead partitions.
func (s *Store) connectionShare() int { return max(int(s.leadingStores.Load()), 1) }

// Run serves until the context ends, then hands its partitions over and returns.
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
	s.draining.Store(true)
	draining, cancel := context.WithTimeout(alive, s.settings.Bounds.Grace-exitReserve)
	defer cancel()
	s.messages.Drain(draining)
	return nil
}

func (s *Store) closeMessages() {
	if err := s.messages.Close(); err != nil {
		s.logger.Warn("closing the message log", zap.Error(err))
	}
}

// changed passes new snapshots of the agent on. The agent calls it from one goroutine at a time.
func (s *Store) applySnapshots() {
	if document := s.agent.Config(); document != nil && document.Version() > s.engineVersion {
		s.engineVersion = document.Version()
		s.engine.SetConfiguration(document.Table())
	}
	if workers := s.agent.Workers(); workers != nil {
		s.engine.SetWorkers(workers.Workers)
	}
	if table := s.agent.Table(); table != nil {
		s.leadingStores.Store(int64(table.Leaders()))
		s.engine.SetDeliverers(table.LimitDivisor(s.info.Name))
		s.messages.ApplyTable(table)
	}
}

// watchWorkers reads the platform's list while the control plane does not bring it.
func (s *Store) watchWorkers(ctx context.Context) {
	ticker := time.NewTicker(workersReadInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		last := s.agent.WorkersReadAt()
		if last.IsZero() {
			last = started
		}
		if time.Since(last) > workersStaleAfter {
			s.readWorkers(ctx)
		}
	}
}

func (s *Store) readWorkers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, workersReadTimeout)
	defer cancel()
	workers, err := controlplane.ReadWorkers(ctx, s.platformClient, *s.platformAddress.Load())
	if err != nil {
		s.logger.Info("reading the list of workers", zap.Error(err))
		return
	}
	s.engine.SetWorkers(workers)
}
