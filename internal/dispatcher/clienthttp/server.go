// Package clienthttp is the front for clients that speak the platform's
// protocol over HTTP/1.1 (RFC 9110, RFC 9112). It checks each request, creates a
// dispatch.Job from it and writes the one answer that the core gives.
//
// Server uses net/http's server. Between that server and the sockets is this
// package's own listener, which owns the accepted connections. It checks the
// bytes of each request's head and passes on only unambiguous heads. It bounds
// the number of open connections and detects that a client disconnects while its
// request is in progress. It closes a connection in such a way that the answer
// reaches a client that is still sending. Once the core has accepted a job, the
// core alone decides the answer. This package sends nothing to workers.
//
// A goroutine of net/http reads and writes each connection; while a request is in
// progress, net/http reads the connection on a second goroutine. Counts and
// stages of connections are under listener.mu, the deadlines of a connection
// under clientConn.deadlineMu. Lock order: listener.mu, then deadlineMu.
//
// Start reading at Server.ServeHTTP for requests, at listener.Accept for
// connections.
package clienthttp

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// Server serves clients over HTTP/1.1. Set its exported fields before Serve.
type Server struct {
	// Members returns the answer to GET /members, and false once the membership has ended. It is nil if the membership
	// is off.
	Members func(context.Context) (any, bool)
	// Leases returns the answer to GET /leases, and false once durable jobs have ended. It is nil if durable jobs are
	// off.
	Leases func(ctx context.Context, key string) (any, bool)
	// Jobs accepts the jobs. New sets it to the core.
	Jobs dispatch.Submitter

	core       *dispatch.Core
	node       *config.Node
	limits     config.Limits
	server     *http.Server
	listener   *listener
	bodyBytes  atomic.Int64 // bytes reserved for the bodies of the requests in progress
	draining   atomic.Bool
	drainStart atomic.Pointer[time.Time]
}

// New creates a server that submits jobs to a core.
func New(n *config.Node, core *dispatch.Core) *Server {
	s := &Server{core: core, Jobs: core, node: n, limits: n.Limits, listener: newListener(n.Limits)}
	s.server = &http.Server{
		Handler:        s,
		ReadTimeout:    s.limits.ReadTimeout,
		IdleTimeout:    s.limits.ClientIdleTimeout,
		MaxHeaderBytes: s.limits.HeadBytes,
		ErrorLog:       log.Default(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				c.(*clientConn).enterStage(stageIdle)
			}
		},
	}
	return s
}

// Serve accepts connections until Shutdown and then returns nil. If the listener fails permanently, Serve returns its
// error.
func (s *Server) Serve(l net.Listener) error {
	if !s.listener.open(l) {
		return nil
	}
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain begins the drain: GET /up answers 503, and every answer closes its connection. New connections are still
// accepted.
func (s *Server) Drain() {
	now := time.Now()
	s.drainStart.CompareAndSwap(nil, &now)
	s.draining.Store(true)
}

// Shutdown closes the listener and the idle connections, and waits until all requests in progress have been answered.
// If ctx is done first, it returns the error of ctx. http.Server.Shutdown is not suitable: it treats a connection as
// idle even if the listener has just read a request on it.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return s.listener.shutdown(ctx)
}
