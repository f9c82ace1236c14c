package replication

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	reconfigureInterval = 100 * time.Millisecond // between attempts at a view without which the group stands still
	improvementInterval = 400 * time.Millisecond // between attempts at a view that would only be better
	resignElectionDelay = time.Second            // for how long a process that has resigned lets others stand first
)

// leadership is this process's time as the primary, from one election to the next. One goroutine carries out what has
// to go in order: batches of changes, read barriers, and new views.
type leadership struct {
	group  *Group
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	superseded      atomic.Bool // a member has promised a higher epoch to another process
	mu              sync.Mutex
	view            View
	peers           map[string]*peer // by disk id
	queue           []*request
	unacknowledged  []unacknowledgedBatch // only used by the leadership's goroutine
	closed          bool
	leaseLapsed     bool // the lease has run out in this view
	nextImprovement time.Time
}

// startLeadership begins a leadership in a view that is in force.
func (g *Group) startLeadership(made establishedView) error {
	l := &leadership{group: g, wake: make(chan struct{}, 1), peers: map[string]*peer{}}
	l.ctx, l.cancel = context.WithCancel(g.ctx)
	l.enterView(made)
	if !g.leadership.CompareAndSwap(nil, l) {
		l.cancel()
		return trace.Wrap(errSuperseded)
	}
	if g.witness.record().Promised != made.view.Epoch || g.ctx.Err() != nil {
		g.resign(l, "overtaken")
		return trace.Wrap(errSuperseded)
	}
	go l.run()
	g.notify()
	return nil
}

// resign ends a leadership. What is waiting fails.
func (g *Group) resign(l *leadership, reason string) {
	if !g.leadership.CompareAndSwap(l, nil) {
		return
	}
	l.cancel()
	g.logger.Info("leadership ended", zap.Uint64("epoch", l.currentView().Epoch), zap.String("reason", reason))
	g.monitor.clearUpToDate()
	g.monitor.delayElection(time.Now().Add(resignElectionDelay))
	for _, waiting := range l.close() {
		waiting.done <- ErrNotPrimary
	}
	g.notify()
}

// close stops the taking of requests, and returns those that have not been started.
func (l *leadership) close() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	waiting := l.queue
	l.queue = nil
	return waiting
}

func (l *leadership) currentView() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

// signal makes the leadership's goroutine look for work.
func (l *leadership) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run carries out the work of the leadership until it ends.
func (l *leadership) run() {
	defer l.failUnacknowledged()
	for l.ctx.Err() == nil {
		wait, idle := l.step()
		if !idle {
			continue
		}
		l.sleep(wait)
	}
}

// sleep waits until there may be work; 0 stands for no limit.
func (l *leadership) sleep(limit time.Duration) {
	var after <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		after = timer.C
	}
	select {
	case <-l.wake:
	case <-after:
	case <-l.ctx.Done():
	}
}

// step does the most urgent piece of work. It reports whether there was none, and for how long at most to wait then.
func (l *leadership) step() (wait time.Duration, idle bool) {
	if l.mustReconfigure() {
		if l.reconfigure(nil) != nil {
			return reconfigureInterval, true
		}
		return 0, false
	}
	grow, wait := l.mayImprove(time.Now())
	if grow {
		_ = l.reconfigure(nil) // a failure is tried again later
		l.postponeImprovement()
		return 0, false
	}
	l.acknowledgeBatches()
	if change := l.takeMembership(); change != nil {
		change.done <- l.changeMembership(change.membership)
		return 0, false
	}
	if batch := l.takeBatch(); len(batch) > 0 {
		l.runBatch(batch)
		return 0, false
	}
	return wait, true
}
