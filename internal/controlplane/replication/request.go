package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// request is a change, a barrier or a change of the membership that waits for the leadership's goroutine.
type request struct {
	kind       requestKind
	change     []byte
	membership membershipChange
	started    bool // the leadership's goroutine has taken it; guarded by the leadership's mutex
	done       chan error
}

// needsReplicas reports whether the request is completed only while the in-sync set has as many disks as the
// replication factor requires.
func (r *request) needsReplicas() bool {
	return r.kind == requestChange || r.kind == requestDurableBarrier
}

// requestKind is the kind of a request.
type requestKind int

const (
	requestChange requestKind = iota
	requestReadBarrier
	requestDurableBarrier
	requestMembership
)

// Propose replicates a change and returns when it is committed and applied. It returns ErrNotPrimary if the change has
// certainly not been made, and ErrOutcomeUnknown if it may have been. Any other error is the state machine's.
func (g *Group) Propose(ctx context.Context, change []byte) error {
	return g.submit(ctx, &request{kind: requestChange, change: change})
}

// ReadBarrier returns nil when this process is known to have been the primary at some time after the call began, so
// that its state holds everything that was acknowledged before the call.
func (g *Group) ReadBarrier(ctx context.Context) error {
	return g.submit(ctx, &request{kind: requestReadBarrier})
}

// DurableBarrier is a ReadBarrier that also waits until everything that was committed before is on as many disks as the
// replication factor requires.
func (g *Group) DurableBarrier(ctx context.Context) error {
	return g.submit(ctx, &request{kind: requestDurableBarrier})
}

// submit queues a request and waits for its result.
func (g *Group) submit(ctx context.Context, submitted *request) error {
	submitted.done = make(chan error, 1)
	l := g.leadership.Load()
	if l == nil || !l.leaseValid(time.Now()) || !l.enqueue(submitted) {
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
	return trace.Wrap(ErrOutcomeUnknown)
}

// enqueue adds a request to the queue, and reports false if the leadership has ended.
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

// withdraw removes a request from the queue, and reports whether it has certainly not been started.
func (l *leadership) withdraw(withdrawn *request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, queued := range l.queue {
		if queued == withdrawn {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return true
		}
	}
	return !withdrawn.started
}

// takeBatch takes the requests that can share a round. Changes and durable barriers wait while too few disks are in
// sync.
func (l *leadership) takeBatch() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	enough := len(l.view.InSync) >= l.group.options.ReplicationFactor
	return l.take(func(queued *request) bool {
		return queued.kind == requestReadBarrier || (queued.needsReplicas() && enough)
	})
}

// takeMembership takes the first change of the membership, or returns nil.
func (l *leadership) takeMembership() *request {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	taken := l.take(func(queued *request) bool {
		first := queued.kind == requestMembership && !found
		found = found || first
		return first
	})
	if len(taken) == 0 {
		return nil
	}
	return taken[0]
}

// take removes the requests that satisfy a condition from the queue, in order, and marks them as started. The caller
// holds the lock.
func (l *leadership) take(matches func(*request) bool) []*request {
	var taken, remaining []*request
	for _, queued := range l.queue {
		if matches(queued) {
			queued.started = true
			taken = append(taken, queued)
		} else {
			remaining = append(remaining, queued)
		}
	}
	l.queue = remaining
	return taken
}
