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
	reconfigureInterval = 100 * time.Millisecond // between attempts at a view without which nothing can be committed
	improvementInterval = 400 * time.Millisecond // between attempts at a view that only improves the current one
	resignElectionDelay = time.Second            // during which a process that has resigned does not campaign
)

// leadership is a term of this process as the primary: from an election that it wins until it resigns. Its goroutine
// carries out batches of changes, read barriers and view changes one after the other. Another goroutine for each peer
// sends the heartbeats. mu guards the fields below it, except unacknowledged.
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
	leaseLapsed     bool // the lease has expired; it is not renewed in this view
	nextImprovement time.Time
}

// startLeadership begins a leadership in a view that is in force. It returns errSuperseded if another process has been
// promised a higher epoch meanwhile.
func (g *Group) startLeadership(established establishedView) error {
	l := &leadership{group: g, wake: make(chan struct{}, 1), peers: map[string]*peer{}}
	l.ctx, l.cancel = context.WithCancel(g.ctx)
	l.enterView(established)
	if !g.leadership.CompareAndSwap(nil, l) {
		l.cancel()
		return trace.Wrap(errSuperseded)
	}
	if g.witness.record().Promised != established.view.Epoch || g.ctx.Err() != nil {
		g.resign(l, "superseded")
		return trace.Wrap(errSuperseded)
	}
	go l.run()
	g.notify()
	return nil
}

// resign ends a leadership. Requests that have not been started fail with ErrNotPrimary.
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

// close makes the leadership reject further requests, and returns those that have not been started.
func (l *leadership) close() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	waiting := l.queue
	l.queue = nil
	return waiting
}

// currentView returns the view that this process leads.
func (l *leadership) currentView() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

// signal wakes the leadership's goroutine to check for work.
func (l *leadership) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run is the leadership's goroutine. It ends with the leadership.
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

// sleep waits until there may be work or the limit has passed. A limit of 0 means no limit.
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

// step does the most urgent piece of work. It reports idle if there is none, or if a necessary view change has failed.
// Then it returns how long to wait for more work; 0 means no limit.
func (l *leadership) step() (wait time.Duration, idle bool) {
	if l.mustReconfigure() {
		if l.reconfigure(nil) != nil {
			return reconfigureInterval, true
		}
		return 0, false
	}
	improve, wait := l.mayImprove(time.Now())
	if improve {
		_ = l.reconfigure(nil) // if it fails, it is retried later
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
