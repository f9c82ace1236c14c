// Package workerhttp carries attempts to workers over HTTP/1.1 connections of its
// own. It owns those connections: it opens, keeps, counts and closes them,
// writes each request once and reads the answer line by line. It must never
// send anything a second time, put a second request on a busy connection, say
// that an attempt never ran unless that is proved, or choose a worker.
package workerhttp

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// Floor is the workers' side of the program.
type Transport struct {
	// Dial opens a connection; tests put their own in its place.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	node     *config.Node
	lim      config.Limits
	counters *dispatch.Counters
	mu       sync.Mutex
	idle     map[string][]*link // by address, the one used last at the end
	open     int
}

// New makes a floor; counters are the core's.
func New(n *config.Node, counters *dispatch.Counters) *Transport {
	d := net.Dialer{KeepAlive: -1}
	return &Transport{node: n, lim: n.Limits, counters: counters, idle: map[string][]*link{},
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }}
}

// Send starts an attempt; its outcome comes through the attempt's End.
func (f *Transport) Send(a *dispatch.Attempt) { go f.carry(a) }

// CloseIdle closes the idle connections to a worker.
func (f *Transport) CloseIdle(w config.Worker) {
	f.mu.Lock()
	links := f.idle[w.Address]
	delete(f.idle, w.Address)
	f.mu.Unlock()
	for _, l := range links {
		l.reap.Stop()
		l.Close()
	}
}

// Idle tells how many connections are idle and how many are open in all.
func (f *Transport) ConnectionCounts() (idle, open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, links := range f.idle {
		idle += len(links)
	}
	return idle, f.open
}

// carry takes an attempt from its connection to its outcome.
func (f *Transport) carry(a *dispatch.Attempt) {
	l, o := f.link(a)
	if l == nil {
		a.End(o, decision.Load{}, nil)
		return
	}
	if !a.MayStart() { // the worker was told off, or the client left, while it came up: nothing has been written
		f.keep(a.Worker.Address, l, 0)
		a.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	l.SetDeadline(a.Deadline)
	// Given up, the attempt ends at once: a deadline in the past breaks off whatever waits on the connection.
	stop := context.AfterFunc(a.Context, func() { l.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := f.request(a)
	if n, err := l.Write(request); n < len(request) || err != nil {
		l.Close() // before its last byte a request is none: it cannot have run
		a.End(decision.ConnectFailed, decision.Load{}, nil)
		return
	}
	a.MarkSent()
	r := f.read(a, l)
	clean := r.clean && stop()
	if !clean { // before it is told: another send may follow
		l.Close()
	}
	early := clean && r.rest != nil && !l.holds(r.length)
	if early { // what is still to come of the framing may never come: the answer need not wait for it
		a.End(r.outcome, r.load, r.result)
	}
	if clean && (r.rest == nil || f.finish(l, r.rest)) {
		f.keep(a.Worker.Address, l, r.rests)
	} else if clean {
		l.Close()
	}
	if !early {
		a.End(r.outcome, r.load, r.result)
	}
}

// request words an attempt. What the client sent stands as it came.
func (f *Transport) request(a *dispatch.Attempt) []byte {
	j := a.Job
	b := make([]byte, 0, 512+len(j.Body))
	line := func(name, value string) { b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...) }
	b = append(append(append(b, "POST "...), j.Target...), " HTTP/1.1\r\n"...)
	if !slices.ContainsFunc(j.Header, func(h dispatch.HeaderField) bool { return h.Name == "Host" }) {
		line("Host", a.Worker.Address)
	}
	for _, h := range j.Header {
		line(h.Name, h.Value)
	}
	line("X-Request-ID", j.ID)
	if j.IdempotencyKey != "" {
		line("Idempotency-Key", j.IdempotencyKey)
	}
	line("X-Timeout", strconv.FormatFloat(max(time.Until(a.Deadline), time.Millisecond).Seconds(), 'f', 3, 64))
	line("Content-Length", strconv.Itoa(len(j.Body)))
	return append(append(b, "\r\n"...), j.Body...)
}
