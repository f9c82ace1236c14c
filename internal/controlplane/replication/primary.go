package replication

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	reshapeRetry = 100 * time.Millisecond // between attempts at a view without which the group stands still
	growthRetry  = 400 * time.Millisecond // between attempts at a view that would only be better
	resignRest   = time.Second            // for how long a process that has resigned lets others stand first
)

// leadership is this process's time as the primary, from one election to the next. One goroutine carries out what has
// to go in order: batches of changes, read barriers, and new views.
type leadership struct {
	group  *Group
	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}

	overtaken  atomic.Bool // a member has promised a higher epoch to another process
	mu         sync.Mutex
	view       View
	peers      map[string]*peer // by disk id
	queue      []*request
	parked     []parkedBatch // only used by the leadership's goroutine
	closed     bool
	nextGrowth time.Time
}

// request is a change, a read barrier or a change of membership that waits for the primary.
type request struct {
	kind       requestKind
	change     []byte
	membership membershipChange
	started    bool // guarded by the leadership's mutex
	done       chan error
}

// parkedBatch is a batch whose changes are committed but on too few disks to be acknowledged.
type parkedBatch struct {
	requests []*request
	epoch    uint64
	after    position
}

type requestKind int

const (
	requestChange requestKind = iota
	requestBarrier
	requestMembership
)

// lead begins a leadership in a view that is in force.
func (g *Group) lead(made madeView) error {
	l := &leadership{group: g, wake: make(chan struct{}, 1), peers: map[string]*peer{}}
	l.ctx, l.cancel = context.WithCancel(g.ctx)
	l.enter(made)
	if !g.leading.CompareAndSwap(nil, l) {
		l.cancel()
		return trace.Wrap(errOvertaken)
	}
	if g.witness.record().Promised != made.view.Epoch || g.ctx.Err() != nil {
		g.resign(l, "overtaken")
		return trace.Wrap(errOvertaken)
	}
	go l.run()
	g.notify()
	return nil
}

// resign ends a leadership. What is waiting fails.
func (g *Group) resign(l *leadership, reason string) {
	if !g.leading.CompareAndSwap(l, nil) {
		return
	}
	l.cancel()
	g.logger.Info("leadership ended", zap.Uint64("epoch", l.currentView().Epoch), zap.String("reason", reason))
	g.presence.forgetCurrent()
	g.presence.holdBack(time.Now().Add(resignRest))
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

// Propose replicates a change and returns when it is committed and applied. ErrNotPrimary tells that it surely was not
// done, ErrUnknownOutcome that it may be; any other error is the state machine's.
func (g *Group) Propose(ctx context.Context, change []byte) error {
	return g.submit(ctx, &request{kind: requestChange, change: change})
}

// Confirm returns nil when this process was still the primary at some time after the call.
func (g *Group) Confirm(ctx context.Context) error {
	return g.submit(ctx, &request{kind: requestBarrier})
}

// submit queues a request and waits for its end.
func (g *Group) submit(ctx context.Context, submitted *request) error {
	submitted.done = make(chan error, 1)
	l := g.leading.Load()
	if l == nil || !l.leaseRuns(time.Now()) || !l.enqueue(submitted) {
		return trace.Wrap(ErrNotPrimary)
	}
	select {
	case err := <-submitted.done:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	if l.withdraw(submitted) {
		return trace.Wrap(ErrNotPrimary)
	}
	return trace.Wrap(ErrUnknownOutcome)
}

func (l *leadership) enqueue(added *request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.queue = append(l.queue, added)
	l.signal()
	return true
}

// withdraw takes a request back, and tells whether that was in time.
func (l *leadership) withdraw(unwanted *request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, waiting := range l.queue {
		if waiting == unwanted {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return true
		}
	}
	return !unwanted.started
}

// run carries out the work of the leadership until it ends.
func (l *leadership) run() {
	defer l.failParked()
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

// step does the most urgent piece of work. It tells whether there was none, and for how long at most to wait then.
func (l *leadership) step() (wait time.Duration, idle bool) {
	if l.mustReshape() {
		if l.reshape(nil) != nil {
			return reshapeRetry, true
		}
		return 0, false
	}
	grow, wait := l.mayGrow(time.Now())
	if grow {
		_ = l.reshape(nil) // a failure is tried again later
		l.postponeGrowth()
		return 0, false
	}
	l.answerParked()
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

// takeBatch takes the requests that can go in one round. Changes wait while too few disks are in sync.
func (l *leadership) takeBatch() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	enough := len(l.view.InSync) >= l.group.options.Copies
	return l.take(func(waiting *request) bool {
		return waiting.kind == requestBarrier || (waiting.kind == requestChange && enough)
	})
}

func (l *leadership) takeMembership() *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	taken := l.take(func(waiting *request) bool {
		first := waiting.kind == requestMembership && !found
		found = found || first
		return first
	})
	if len(taken) == 0 {
		return nil
	}
	return taken[0]
}

// take removes the requests that satisfy a condition from the queue, in order. The caller holds the lock.
func (l *leadership) take(wanted func(*request) bool) []*request {
	var taken, left []*request
	for _, waiting := range l.queue {
		if wanted(waiting) {
			waiting.started = true
			taken = append(taken, waiting)
		} else {
			left = append(left, waiting)
		}
	}
	l.queue = left
	return taken
}

// runBatch replicates the changes of a batch in one round. A batch without changes is a round that confirms the
// leadership.
func (l *leadership) runBatch(batch []*request) {
	g := l.group
	var changes [][]byte
	for _, waiting := range batch {
		if waiting.kind == requestChange {
			changes = append(changes, waiting.change)
		}
	}
	view := l.currentView()
	after, records, err := g.replica.propose(view.Epoch, changes)
	if err != nil {
		g.resign(l, "log refused: "+err.Error())
		failAll(batch, ErrUnknownOutcome)
		return
	}
	if err := l.commitBatch(view, after, records, uint64(len(changes))); err != nil {
		failAll(batch, ErrUnknownOutcome)
		return
	}
	l.parked = append(l.parked, parkedBatch{batch, view.Epoch, after})
	l.answerParked()
	if len(changes) > 0 {
		l.kickPeers()
		g.compact()
	}
}

// answerParked answers the batches that wait for enough copies, where there are enough now. Read barriers don't wait.
func (l *leadership) answerParked() {
	enough := len(l.currentView().InSync) >= l.group.options.Copies
	waiting := l.parked
	l.parked = nil
	for _, batch := range waiting {
		switch {
		case !l.group.replica.isOwn(batch.epoch):
			failAll(batch.requests, ErrUnknownOutcome)
		case enough || !hasChanges(batch.requests):
			l.answerBatch(batch.requests, batch.after.Index)
		default:
			l.parked = append(l.parked, batch)
		}
	}
}

func hasChanges(batch []*request) bool {
	return slices.ContainsFunc(batch, func(waiting *request) bool { return waiting.kind == requestChange })
}

// failParked fails what is still parked when the leadership ends.
func (l *leadership) failParked() {
	for _, batch := range l.parked {
		failAll(batch.requests, ErrUnknownOutcome)
	}
	l.parked = nil
}

// commitBatch brings the records to all of the in-sync set. Where that fails, a view without those that don't answer
// is made, by which all of the log is committed.
func (l *leadership) commitBatch(view View, after position, records []byte, count uint64) error {
	g := l.group
	failed, err := l.replicate(view, after, records)
	if err != nil {
		g.resign(l, "own disk: "+err.Error())
		return trace.Wrap(err)
	}
	if len(failed) == 0 {
		if attached, _ := g.replica.commit(view.Epoch, after.Index+count); !attached {
			g.resign(l, "overtaken")
			return trace.Wrap(errOvertaken)
		}
		return nil
	}
	return l.reshapeUntilDone(failed)
}

// reshapeUntilDone makes a view without the failed disks, and tries until one is in force.
func (l *leadership) reshapeUntilDone(failed map[string]bool) error {
	for l.ctx.Err() == nil {
		if l.reshape(failed) == nil {
			return nil
		}
		failed = nil
		pause(l.ctx, reshapeRetry)
	}
	return trace.Wrap(errOvertaken)
}

// answerBatch tells the proposers what the state machine said.
func (l *leadership) answerBatch(batch []*request, index uint64) {
	for _, waiting := range batch {
		var outcome error
		if waiting.kind == requestChange {
			index++
			outcome = l.group.replica.takeOutcome(index)
		}
		waiting.done <- outcome
	}
}

func failAll(batch []*request, err error) {
	for _, waiting := range batch {
		waiting.done <- err
	}
}

// replicate sends records to the in-sync backups and syncs the own log. It returns the disks that did not confirm.
func (l *leadership) replicate(view View, after position, records []byte) (map[string]bool, error) {
	g := l.group
	var backups []Member
	for _, diskID := range view.InSync {
		if member, found := view.Member(diskID); found && diskID != g.self.DiskID {
			backups = append(backups, member)
		}
	}
	replies := ask(backups, func(to Member) (bool, error) { return l.sendRecords(to, view.Epoch, after, records) })
	if records != nil {
		if err := g.replica.syncWithin(l.ctx, 2*g.timing.RoundTimeout); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	failed := map[string]bool{}
	for range backups {
		if received := <-replies; received.err != nil || !received.answer {
			failed[received.member.DiskID] = true
		}
	}
	return failed, nil
}

// sendRecords sends records to a backup, once more where the connection was lost. A backup that follows another log, as
// after a restart, gets the whole state.
func (l *leadership) sendRecords(to Member, epoch uint64, after position, records []byte) (bool, error) {
	g := l.group
	ctx, cancel := context.WithTimeout(l.ctx, g.timing.DropAfter)
	defer cancel()
	answer, err := l.appendAt(ctx, to, epoch, after, records)
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		if isRefused(err) {
			pause(ctx, g.timing.RefusedDropAfter)
		}
		answer, err = l.appendAt(ctx, to, epoch, after, records)
	}
	if err != nil || answer.Attached || answer.Promised > epoch {
		return answer.Attached, err
	}
	return g.align(l.ctx, to, epoch, g.replica.end(), &imageOnce{})
}

func (l *leadership) appendAt(
	ctx context.Context, to Member, epoch uint64, after position, records []byte,
) (appendAnswer, error) {
	g := l.group
	committed, _ := g.replica.committedIn(epoch)
	request := appendRequest{
		Target: to.DiskID, Epoch: epoch, Primary: g.self.DiskID, After: after, Commit: committed,
	}
	var answer appendAnswer
	_, err := g.call(ctx, g.timing.DropAfter, to, methodAppend, request, records, &answer)
	return answer, err
}
