package replication

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Group is one process's participation in the replicated group. Its methods are safe for concurrent use.
type Group struct {
	options Options
	self    Member
	timing  Timing
	logger  *zap.Logger
	witness *witness
	replica *replica

	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	leadership   atomic.Pointer[leadership] // nil while this process does not lead
	viewChanges  semaphore                  // held during a view change; there is one at a time
	monitor      primaryMonitor
	highestEpoch atomic.Uint64        // the highest epoch that any member is known to have promised
	learnedView  atomic.Pointer[View] // the newest view that other witnesses have reported; nil if none has

	randomMu sync.Mutex
	random   *rand.Rand

	observersMu sync.Mutex
	observers   []func(Role)
	reported    Role // the role that the observers were last called with
}

// Open loads the state on the disk and registers the handlers of the group's calls. The process votes and replicates
// from then on. It watches the primary and campaigns only while Run runs.
func Open(options Options) (*Group, error) {
	options = options.withDefaults()
	witness, err := openWitness(options.FS)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	replica, err := openReplica(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g := &Group{
		options:     options,
		self:        options.Self,
		timing:      options.Timing,
		logger:      options.Logger.With(zap.String("member", options.Self.Name)),
		viewChanges: newSemaphore(),
		witness:     witness,
		replica:     replica,
		random:      rand.New(rand.NewPCG(options.Seed, hash(options.Self.DiskID))),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.monitor.recordContact(time.Now())
	g.register(options.Server)
	return g, nil
}

// hash returns a hash of a disk id. It makes processes with the same seed draw different delays.
func hash(diskID string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(diskID))
	return sum.Sum64()
}

// Run watches the primary, and campaigns when it is down, until the context ends. Then the process resigns and
// refuses all calls; Close closes the log.
func (g *Group) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, g.cancel)
	defer stop()
	g.watchPrimary()
	g.resignOnStop()
}

// resignOnStop ends this process's leadership because the process stops.
func (g *Group) resignOnStop() {
	if l := g.leadership.Load(); l != nil {
		g.resign(l, "stopping")
	}
}

// Close ends this process's participation in the group. It syncs and closes the log.
func (g *Group) Close() {
	g.cancel()
	g.resignOnStop()
	if err := g.replica.log.Close(); err != nil {
		g.logger.Warn("closing the log failed", zap.Error(err))
	}
}

// randomDelay returns a random duration below a limit, from the generator that is seeded by Options.Seed.
func (g *Group) randomDelay(limit time.Duration) time.Duration {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return time.Duration(g.random.Int64N(int64(limit)))
}
