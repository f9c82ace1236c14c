// Package clienthttp is the front for clients that speak the platform's
// protocol over HTTP/1.1 (RFC 9110, RFC 9112). It checks what they send, makes a
// dispatch.Job of it and writes the one answer that the core gives.
//
// Server stands on net/http's server. Between that and the sockets stands a
// listener of this package's own, which owns the accepted connections: it reads
// each request's head as it came and passes on only one that can be read in one
// way, bounds how many connections are open, sees a client leave while its
// request is answered, and closes such that an answer reaches a client that is
// still sending. For a job that the core has taken this package chooses no
// answer, and it sends nothing to workers.
//
// Each connection is served by net/http's goroutine, which reads and writes;
// while a request is in, net/http reads the connection on another one. Counts
// and stages of connections are under listener.mu, deadlines of one under
// clientConn.deadlineMu; the first may be held when the second is taken.
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

// Server serves clients over HTTP/1.1. Its exported fields are set before Serve.
type Server struct {
	// Members returns what GET /members shows, and false once the membership has ended; nil where it is off.
	Members func(context.Context) (any, bool)
	// Leases returns what GET /leases shows, and false once durable jobs have ended; nil where they are off.
	Leases func(ctx context.Context, key string) (any, bool)
	// Jobs takes the jobs; New sets it to the core.
	Jobs dispatch.Submitter

	core       *dispatch.Core
	node       *config.Node
	limits     config.Limits
	server     *http.Server
	listener   *listener
	bodyBytes  atomic.Int64 // of the bodies that are held
	draining   atomic.Bool
	drainStart atomic.Pointer[time.Time]
}

// New makes a server in front of a core.
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

// Serve takes connections until Shutdown; it returns nil then, and the listener's error where that fails for good.
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

// Drain begins the end: GET /up answers 503, and every answer closes its connection. New connections are still taken.
func (s *Server) Drain() {
	now := time.Now()
	s.drainStart.CompareAndSwap(nil, &now)
	s.draining.Store(true)
}

// Shutdown closes the listener and idle connections and waits until the open answers are out; its error is ctx's.
// http.Server.Shutdown would not do: it takes a connection for idle on which the listener has just read a request.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return s.listener.shutdown(ctx)
}
