// Package durablejobs takes jobs for keeps. It stands between the fronts and the core, and
// between the core and the floors: a keyed job reaches the core once its promise stands
// on a quorum of copies, an attempt reaches a worker once its intent does, a client
// gets an outcome once that does. One goroutine owns the holds (internal/lease) and this
// dispatcher's copies (internal/replica); links.go carries their frames. This file also
// takes over what dead dispatchers held. It must never decide which worker takes a job,
// whether one is let in, or what a class allows: the module and the lease tables do.
package durablejobs

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/lease"
	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/transport"
	"gladepick/internal/dispatcher/raftgroup"
)

// Membership is what tells who is there.
type Membership interface {
	View(context.Context) (v membership.View, life uint64, joined, quorum bool)
}

// ErrUnready is Take's answer while nothing can be promised: there is no quorum, no founding, or no room.
var ErrUnready = errors.New("nothing can be promised now")

// Counters only grow.
type Counters struct {
	Taken     atomic.Int64 // promises given here
	Joined    atomic.Int64 // jobs that another dispatcher or try had already
	Known     atomic.Int64 // answered with what stood already
	Refused   atomic.Int64 // for want of a quorum, a founding or room
	Inherited atomic.Int64 // taken over from dead dispatchers
	Fenced    atomic.Int64 // lost to another dispatcher
	Barred    atomic.Int64 // sends that the class forbade
	Unsure    atomic.Int64 // commands of which no quorum said in time what became
	Dropped   atomic.Int64 // frames that found no room or no connection
}

// Keeper is one dispatcher's part in the promises. Make it with New, then Run it.
type Keeper struct {
	Counts Counters

	core    *dispatch.Core
	started chan struct{} // closed once the core is known

	node    *config.Node
	conf    *config.DurableJobs
	lim     config.Limits
	members Membership
	host    *raftgroup.Node
	links   *links
	birth   time.Time
	over    chan struct{}

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	// Owned by Run's goroutine:
	entries map[*entry]bool
	inners  map[*dispatch.Job]*entry
	clients map[*dispatch.Job]*entry
	byKey   map[string][]*entry
	tokens  map[uint64]func([]byte, error)
	life    uint64
	view    membership.View
	away    map[string]time.Duration // owners that are not in the view, since when
	seizing map[int]bool
	tidied  time.Duration
	record  *transport.EventLog
	crash   map[string]int
	ready   atomic.Bool
	leaving atomic.Bool
	open    atomic.Int64
}

// New makes a keeper; it opens its socket.
func New(n *config.Node, members Membership) (*Keeper, error) {
	c := n.DurableJobs
	k := &Keeper{node: n, conf: c, lim: n.Limits, members: members, birth: time.Now(), over: make(chan struct{}), started: make(chan struct{}), wake: make(chan struct{}, 1),
		entries: map[*entry]bool{}, inners: map[*dispatch.Job]*entry{}, clients: map[*dispatch.Job]*entry{}, byKey: map[string][]*entry{}, tokens: map[uint64]func([]byte, error){}, away: map[string]time.Duration{},
		seizing: map[int]bool{}, crash: map[string]int{}}
	copy := rand.Uint64() | 1
	founders := []string{n.Name}
	for _, p := range c.Peers {
		founders = append(founders, p.Name)
	}
	var err error
	k.host, err = raftgroup.New(raftgroup.Config{Self: raftgroup.NodeID{Name: n.Name, Memory: copy}, Founders: founders, Groups: c.Groups, Replicas: c.Replicas,
		NewStateMachine: func(int) raftgroup.StateMachine { return &machine{lease.New()} }, Seed: n.Seed ^ copy}, k.now())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Path, err)
	}
	if c.Events != "" {
		if k.record, err = transport.OpenEventLog(c.Events); err != nil {
			return nil, fmt.Errorf("%s: key promises.events: %w", c.Path, err)
		}
	}
	if k.links, err = open(n, hello{Form: 1, Name: n.Name, Copy: copy, Start: uint64(time.Now().UnixNano())}, &k.Counts.Dropped); err != nil {
		return nil, fmt.Errorf("%s: key promises.listen: %w", c.Path, err)
	}
	return k, nil
}

// now is the keeper's clock: monotonic. wall is Unix milliseconds by the calendar of the start and that clock, so that
// steps of the calendar change nothing later.
func (k *Keeper) now() time.Duration { return time.Hour + time.Since(k.birth) }
func (k *Keeper) wall() int64        { return k.birth.Add(time.Since(k.birth)).UnixMilli() }

// post hands something to the keeper's goroutine. It never blocks: what waits is bounded by the open jobs.
func (k *Keeper) post(f func()) {
	k.mu.Lock()
	k.queue = append(k.queue, f)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// point is a place at which a trial may end or stop the process.
func (k *Keeper) point(name string) {
	if name == k.conf.CrashAt {
		if k.crash[name]++; k.crash[name] == k.conf.CrashOn {
			k.note(map[string]any{"crash": name})
			if k.conf.CrashByStop {
				syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
				return
			}
			syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
}

// Run keeps until ctx ends. The core gets the jobs.
func (k *Keeper) Run(ctx context.Context, core *dispatch.Core) {
	k.core = core
	close(k.started)
	defer close(k.over)
	go k.links.run(ctx, func(from raftgroup.NodeID, data []byte) {
		k.post(func() { k.do(k.host.HandleFrame(k.now(), from, data)) })
	})
	beat := time.NewTicker(10 * time.Millisecond)
	defer beat.Stop()
	round := k.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-beat.C:
			k.do(k.host.Tick(k.now()))
			k.expire()
		}
		k.mu.Lock()
		work := k.queue
		k.queue = nil
		k.mu.Unlock()
		for _, f := range work {
			f()
		}
		if k.now() >= round {
			round = k.now() + k.lim.LeaseRoundInterval
			k.look(ctx)
		}
	}
}

// do carries out what the host wants.
func (k *Keeper) do(acts *raftgroup.Actions) {
	for _, o := range acts.Send {
		k.links.send(o.To, o.Data)
	}
	for _, n := range acts.Notices {
		slog.Info("copies", "text", n)
		k.note(map[string]any{"notice": n})
	}
	results := slices.Clone(acts.Results) // what follows from them calls the host again
	for _, r := range results {
		if f := k.tokens[r.Token]; f != nil {
			delete(k.tokens, r.Token)
			f(r.Data, r.Err)
		}
	}
}

// note writes a line of the operator's record.
func (k *Keeper) note(line map[string]any) {
	line["by"] = k.node.Name
	k.record.Write(line)
}

// owner is this dispatcher as the tables name it.
func (k *Keeper) owner() string { return k.node.Name + "." + strconv.FormatUint(k.life, 10) }

// kept tells whether jobs of a class are taken for keeps.
func (k *Keeper) kept(class int) bool {
	return k.node.Module.Classes[class].Idempotency == decision.Deduplicated
}

// Farewell gives up what this dispatcher has: its open jobs end, and others get its copies. It waits for both as long as ctx
// lasts, or until nobody is there to get them.
func (k *Keeper) Shutdown(ctx context.Context) {
	k.leaving.Store(true)
	ctx, done := context.WithTimeout(ctx, k.lim.LeaseShutdownTimeout)
	defer done()
	type hand struct {
		open  int
		moved bool
	}
	last := hand{}
	for began := time.Now(); ; {
		now := make(chan hand, 1)
		k.post(func() { now <- hand{len(k.entries), k.host.IsEvacuated()} })
		select {
		case <-ctx.Done():
			slog.Warn("leaving with something in hand", "jobs", last.open, "copies", !last.moved)
			return
		case <-k.over:
			return
		case last = <-now:
			if last.open == 0 && last.moved {
				slog.Info("gave up what it had", "after", time.Since(began))
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(k.lim.LeaseRoundInterval):
		}
	}
}

// Status tells what the state is; with a key it adds that record, with * the open ones, a hundred at most.
func (k *Keeper) Status(ctx context.Context, key string) (any, bool) {
	var s lease.Status
	done := make(chan struct{})
	k.post(func() {
		defer close(done)
		c := &k.Counts
		s = lease.Status{Name: k.node.Name, Owner: k.owner(), Ready: k.ready.Load(), Open: len(k.entries),
			Counters: map[string]int64{"taken": c.Taken.Load(), "joined": c.Joined.Load(), "known": c.Known.Load(), "refused": c.Refused.Load(),
				"inherited": c.Inherited.Load(), "fenced": c.Fenced.Load(), "barred": c.Barred.Load(), "unsure": c.Unsure.Load(), "dropped": c.Dropped.Load()}}
		if id := k.host.AssignmentID(); id != 0 {
			s.Charter = strconv.FormatUint(id, 16)
		}
		for _, g := range k.host.Status() {
			s.Groups = append(s.Groups, lease.GroupStatus(g))
			if g.Leads {
				s.Lost += min(g.Lost, 1)
			}
		}
		for n := range k.host.Groups() {
			m, _ := k.host.StateMachine(n)
			if m == nil {
				continue
			}
			t := m.(*machine).Table
			s.Kept += t.Len()
			show := func(r *lease.Record) {
				s.Records = append(s.Records, lease.RecordStatus{Key: r.Key, Group: n, State: r.State.String(), Owner: r.Owner, Epoch: r.Epoch, Attempt: r.Attempt,
					First: cmp.Or(r.EarlierSendAt, r.FirstSendAt), Deadline: r.Terms.Deadline, Served: r.Outcome == lease.Served, Result: string(r.Result)})
			}
			if r, ok := t.Get(key); ok {
				show(&r)
			} else if key == "*" {
				for _, o := range t.Owners() {
					for _, key := range t.Owned(o) {
						if r, _ := t.Get(key); len(s.Records) < 100 {
							show(&r)
						}
					}
				}
			}
		}
	})
	select {
	case <-done:
		return s, true
	case <-k.over:
	case <-ctx.Done():
	}
	return nil, false
}
