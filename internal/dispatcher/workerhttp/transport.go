// Package workerhttp carries attempts to workers over HTTP/1.1 (RFC 9110,
// RFC 9112) on connections of its own. It opens, pools, counts and closes them,
// writes each request once and reads the answer line by line.
//
// It does not use net/http's client, which sends requests again by itself and
// cannot tell which of them have left. This package is responsible for these
// invariants: no request is written twice; a connection carries one request at a
// time; an attempt is reported as never run only where that is proved, which is
// before the request's last byte is written or by the worker's word. Workers are
// chosen elsewhere.
//
// Each attempt runs on a goroutine that Transport.Send starts and that ends with
// the attempt's outcome, soon after its deadline at the latest. The pool and the
// number of connections are under pool.mu; an idle connection is closed by the
// timer that belongs to it.
//
// Start reading at Transport.carry.
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

// longAgo is a deadline that breaks off whatever waits on a connection.
var longAgo = time.Unix(1, 0)

// Transport carries attempts to workers over HTTP/1.1. It is a dispatch.Transport.
type Transport struct {
	// Dial opens a connection; tests put their own in its place.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	node     *config.Node
	limits   config.Limits
	counters *dispatch.Counters
	pool     pool
}

// New makes a transport. counters are the core's.
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

// Send starts an attempt. Its outcome comes through the attempt's End.
func (t *Transport) Send(a *dispatch.Attempt) { go t.carry(a) }

// CloseIdle closes the idle connections to a worker.
func (t *Transport) CloseIdle(w config.Worker) { t.pool.closeIdle(w.Address) }

// ConnectionCounts returns how many connections are idle, and how many are open in all.
func (t *Transport) ConnectionCounts() (idle, open int) { return t.pool.counts() }

// carry takes an attempt from its connection to its outcome.
func (t *Transport) carry(a *dispatch.Attempt) {
	c, o := t.connect(a)
	if c == nil {
		a.End(o, decision.Load{}, nil)
		return
	}
	if !a.MayStart() { // the worker began to leave, or the client left, while it came up: nothing has been written
		t.pool.release(a.Worker.Address, c, 0)
		a.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	c.SetDeadline(a.Deadline)
	// Given up, the attempt ends at once.
	stop := context.AfterFunc(a.Context, func() { c.SetDeadline(longAgo) })
	defer stop()
	request := encodeRequest(a)
	if n, err := c.Write(request); n < len(request) || err != nil {
		c.Close() // without its last byte it is no request: it cannot have run
		a.End(decision.ConnectFailed, decision.Load{}, nil)
		return
	}
	a.MarkSent()
	r := t.readAnswer(a, c)
	if r.reusable && stop() {
		t.endReusable(a, c, r)
		return
	}
	c.Close() // before the end is reported: another send may follow
	a.End(r.outcome, r.load, r.result)
}

// endReusable reports an attempt's outcome and puts its connection into the pool, once the rest of the answer is read.
// Where that is still to come the report does not wait for it: it may never come.
func (t *Transport) endReusable(a *dispatch.Attempt, c *conn, r answer) {
	early := r.rest != nil && !c.hasBuffered(r.length)
	if early {
		a.End(r.outcome, r.load, r.result)
	}
	if r.rest == nil || c.discard(r.rest) {
		t.pool.release(a.Worker.Address, c, r.quarantine)
	} else {
		c.Close()
	}
	if !early {
		a.End(r.outcome, r.load, r.result)
	}
}

// connect returns a connection that is up and has nothing to read, or the outcome that having none means.
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
		t.pool.free()
		return nil, decision.ConnectFailed
	}
	t.counters.Dialled.Add(1)
	return newConn(socket, &t.pool), 0
}
