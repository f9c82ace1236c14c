package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// request is a change, a barrier or a change of the membership that waits for the primary's goroutine.
type request struct {
	kind       requestKind
	change     []byte
	membership membershipChange
	started    bool // a batch has it; guarded by the leadership's mutex
	done       chan error
}

// needsReplicas reports whether the request is answered only while the in-sync set has as many disks as the
// replication factor asks for.
func (r *request) needsReplicas() bool {
	return r.kind == requestChange || r.kind == requestDurableBarrier
}

// requestKind tells what a request asks for.
type requestKind int

const (
	requestChange requestKind = iota
	requestReadBarrier
	requestDurableBarrier
	requestMembership
)

// Propose replicates a change and returns when it is committed and applied. It returns ErrNotPrimary where the
// change surely was not made and ErrOutcomeUnknown where it may have been; any other error is the state machine's.
func (g *Group) Propose(ctx context.Context, change []byte) error {
	return g.submit(ctx, &request{kind: requestChange, change: change})
}

// ReadBarrier returns nil when this process was the primary at some time after the call, so that its state holds
// everything that was acknowledged before the call.
func (g *Group) ReadBarrier(ctx context.Context) error {
	return g.submit(ctx, &request{kind: requestReadBarrier})
}

// DurableBarrier is ReadBarrier, and returns only when everything that was committed before is on as many disks as
// the replication factor asks for.
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

// enqueue adds a request to the queue, and reports false where the leadership is over.
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

// withdraw removes a request from the queue, and reports whether it surely has not been started.
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

// takeBatch takes the requests that can share a round. Changes wait while too few disks are in sync.
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
