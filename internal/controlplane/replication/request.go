package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// request is a change, a barrier or a change of membership that waits for the primary.
type request struct {
	kind       requestKind
	change     []byte
	membership membershipChange
	started    bool // guarded by the leadership's mutex
	done       chan error
}

// needsReplicas reports whether the request is answered only while enough disks are in sync.
func (r *request) needsReplicas() bool {
	return r.kind == requestChange || r.kind == requestDurableBarrier
}

type requestKind int

const (
	requestChange requestKind = iota
	requestReadBarrier
	requestDurableBarrier
	requestMembership
)

// Propose replicates a change and returns when it is committed and applied. ErrNotPrimary tells that it surely was not
// done, ErrOutcomeUnknown that it may be; any other error is the state machine's.
func (g *Group) Propose(ctx context.Context, change []byte) error {
	return g.submit(ctx, &request{kind: requestChange, change: change})
}

// ReadBarrier returns nil when this process was still the primary at some time after the call.
func (g *Group) ReadBarrier(ctx context.Context) error {
	return g.submit(ctx, &request{kind: requestReadBarrier})
}

// DurableBarrier is ReadBarrier, and returns only when all that was committed before is on as many disks as a change needs to
// be acknowledged.
func (g *Group) DurableBarrier(ctx context.Context) error {
	return g.submit(ctx, &request{kind: requestDurableBarrier})
}

// submit queues a request and waits for its end.
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

// withdraw takes a request back, and reports whether that was in time.
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

// takeBatch takes the requests that can go in one round. Changes wait while too few disks are in sync.
func (l *leadership) takeBatch() []*request {
	l.mu.Lock()
	defer l.mu.Unlock()
	enough := len(l.view.InSync) >= l.group.options.ReplicationFactor
	return l.take(func(waiting *request) bool {
		return waiting.kind == requestReadBarrier || (waiting.needsReplicas() && enough)
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
