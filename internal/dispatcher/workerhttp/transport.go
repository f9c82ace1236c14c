// Package workerhttp sends attempts to workers over HTTP/1.1 (RFC 9110,
// RFC 9112). It opens, pools, counts and closes the connections, writes each
// request once and reads the answer line by line.
//
// It does not use net/http's client, which retries requests by itself and does
// not report which of them have been written. This package enforces these
// invariants: no request is written twice; a connection carries one request at a
// time; an attempt is reported as never run only if that is certain, which is the
// case before the request's last byte is written or if the worker says so. The
// decision module chooses the workers, not this package.
//
// Each attempt runs on its own goroutine, which Transport.Send starts. The
// goroutine ends with the attempt's outcome, soon after the attempt's deadline at
// the latest. The pool and the number of connections are under pool.mu; each idle
// connection has a timer that closes it.
//
// Start reading at Transport.runAttempt.
package workerhttp

import (
	"context"
	"errors"
	"net"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// pastDeadline is a deadline in the past. It interrupts all reads and writes on a connection.
var pastDeadline = time.Unix(1, 0)

// Transport sends attempts to workers over HTTP/1.1. It implements dispatch.Transport.
type Transport struct {
	// Dial opens a connection. Tests replace it.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	node     *config.Node
	limits   config.Limits
	counters *dispatch.Counters
	pool     pool
}

// New creates a transport. counters are the counters of the core.
func New(n *config.Node, counters *dispatch.Counters) *Transport {
	dialer := net.Dialer{KeepAlive: -1}
	return &Transport{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		node:     n,
		limits:   n.Limits,
		counters: counters,
		pool:     pool{limits: n.Limits, idle: map[string][]*conn{}},
	}
}

// Send starts an attempt on a new goroutine, which reports the outcome with the attempt's End.
func (t *Transport) Send(a *dispatch.Attempt) { go t.runAttempt(a) }

// CloseIdle closes the idle connections to a worker.
func (t *Transport) CloseIdle(w config.Worker) { t.pool.closeIdle(w.Address) }

// ConnectionCounts returns the number of idle connections and the number of all open ones.
func (t *Transport) ConnectionCounts() (idle, open int) { return t.pool.counts() }

// runAttempt gets a connection, writes the request, reads the answer and reports the outcome.
func (t *Transport) runAttempt(a *dispatch.Attempt) {
	c, o := t.connect(a)
	if c == nil {
		a.End(o, decision.Load{}, nil)
		return
	}
	if !a.MayStart() { // the worker began to leave or the client disconnected; nothing has been written
		t.pool.release(a.Worker.Address, c, 0)
		a.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	c.SetDeadline(a.Deadline)
	// Cancelling the attempt interrupts the reads and writes on its connection.
	stop := context.AfterFunc(a.Context, func() { c.SetDeadline(pastDeadline) })
	defer stop()
	request := encodeRequest(a)
	if n, err := c.Write(request); n < len(request) || err != nil {
		c.Close() // the worker cannot have run the job, because the request lacks its last byte
		a.End(decision.ConnectFailed, decision.Load{}, nil)
		return
	}
	a.MarkSent()
	r := t.readAnswer(a, c)
	if r.reusable && stop() {
		t.finishReusable(a, c, r)
		return
	}
	c.Close() // before the outcome is reported, because the core may then send the job again
	a.End(r.outcome, r.load, r.result)
}

// finishReusable reports the outcome of an attempt and returns the connection to the pool once the rest of the answer
// has been read. If the rest has not arrived yet, the outcome is reported first, because the rest may never arrive.
func (t *Transport) finishReusable(a *dispatch.Attempt, c *conn, r answer) {
	reportFirst := r.rest != nil && !c.hasBuffered(r.length)
	if reportFirst {
		a.End(r.outcome, r.load, r.result)
	}
	if r.rest == nil || c.discard(r.rest) {
		t.pool.release(a.Worker.Address, c, r.quarantine)
	} else {
		c.Close()
	}
	if !reportFirst {
		a.End(r.outcome, r.load, r.result)
	}
}

// connect returns an established connection with nothing to read. If there is none, it returns nil and the outcome of
// the attempt.
func (t *Transport) connect(a *dispatch.Attempt) (*conn, decision.Outcome) {
	c, err := t.pool.acquire(a.Worker.Address)
	if errors.Is(err, errPoolFull) {
		return nil, decision.NeverSent
	}
	if c != nil {
		t.counters.Reused.Add(1)
		return c, 0
	}
	ctx, cancel := context.WithDeadline(a.Context, a.Deadline)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, t.limits.ConnectTimeout)
	defer cancel()
	socket, err := t.Dial(ctx, a.Worker.Address)
	if err != nil {
		t.pool.releaseSlot()
		return nil, decision.ConnectFailed
	}
	t.counters.Dialled.Add(1)
	return newConn(socket, &t.pool), 0
}
