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

	"gladepick/internal/rpc"
)

// Group is this process's part in the replicated group.
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
	viewChanges  semaphore                  // held while this process makes a view
	monitor      primaryMonitor
	highestEpoch atomic.Uint64        // the highest epoch known to be promised by anyone
	learnedView  atomic.Pointer[View] // the newest view heard of from other witnesses

	randomMu sync.Mutex
	random   *rand.Rand

	observersMu sync.Mutex
	observers   []func(Role)
	reported    Role
}

// Open loads what the disk holds and registers the group's calls. It takes no part in the group's life until Run.
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

func hash(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return sum.Sum64()
}

func (g *Group) register(server *rpc.Server) {
	server.Handle(methodPrepare, handle(g, g.servePrepare))
	server.Handle(methodAccept, handle(g, g.serveAccept))
	server.Handle(methodAttach, handle(g, g.serveAttach))
	server.Handle(methodAppend, handle(g, g.serveAppend))
	server.Handle(methodHeartbeat, handle(g, g.serveHeartbeat))
	server.Handle(methodStatus, handle(g, g.serveStatus))
}

// handle turns a method of the group with typed parameters into a handler.
func handle[Request any](
	g *Group, serve func(ctx context.Context, request Request, body []byte) (any, []byte, error),
) rpc.Handler {
	return func(ctx context.Context, call *rpc.Call) (any, []byte, error) {
		if g.ctx.Err() != nil {
			return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "the group is closed"}
		}
		var request Request
		if err := call.Decode(&request); err != nil {
			return nil, nil, err
		}
		return serve(ctx, request, call.Body)
	}
}

// Run takes part in the group until the context ends.
func (g *Group) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, g.cancel)
	defer stop()
	g.watchPrimary()
	g.resignOnStop()
}

// stepDown ends this process's leadership because it stops.
func (g *Group) resignOnStop() {
	if l := g.leadership.Load(); l != nil {
		g.resign(l, "stopping")
	}
}

// Close ends the part in the group. The log is synced and closed.
func (g *Group) Close() {
	g.cancel()
	g.resignOnStop()
	if err := g.replica.log.Close(); err != nil {
		g.logger.Warn("closing the log failed", zap.Error(err))
	}
}

// Role tells which part this process plays now.
func (g *Group) Role() Role {
	now := time.Now()
	role := Role{}
	if l := g.leadership.Load(); l != nil {
		role.View = l.currentView()
		role.Primary = l.leaseValid(now)
		role.UpToDate = role.Primary
	} else {
		if accepted := g.witness.record().Accepted; accepted != nil {
			role.View = *accepted
		}
		role.UpToDate = g.monitor.upToDate(now, g.timing.LeaseDuration)
	}
	role.Epoch = role.View.Epoch
	return role
}

// OnRoleChange has a function called with the new role whenever the epoch, the primary's part or the freshness changes.
// The function must return soon, and must not propose or wait for anything of the group.
func (g *Group) OnRoleChange(observer func(Role)) {
	g.observersMu.Lock()
	defer g.observersMu.Unlock()
	g.observers = append(g.observers, observer)
}

// notify tells the observers where the role has changed.
func (g *Group) notify() {
	g.observersMu.Lock()
	defer g.observersMu.Unlock()
	role := g.Role()
	known := g.reported
	if role.Epoch == known.Epoch && role.Primary == known.Primary && role.UpToDate == known.UpToDate {
		return
	}
	g.reported = role
	for _, observer := range g.observers {
		observer(role)
	}
}

// randomPause returns a duration up to a limit.
func (g *Group) randomPause(limit time.Duration) time.Duration {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	return time.Duration(g.random.Int64N(int64(limit)))
}

// call makes a call to a member within a limit.
func (g *Group) call(
	ctx context.Context, limit time.Duration, to Member, method string, params any, body []byte, result any,
) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return g.options.Pool.Get(to.Address).Call(ctx, method, params, body, result)
}
