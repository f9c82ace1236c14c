package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

const (
	idleWorkers      = 8                      // goroutines that a server keeps for the next calls
	acceptRetryDelay = 100 * time.Millisecond // after an accept that failed for want of descriptors
)

// Handler carries out a call. Its context ends when the connection does. An error that is an *Error is sent as it is,
// any other as CodeInternal.
type Handler func(ctx context.Context, call *Call) (result any, body []byte, err error)

// Call is a call as the server received it. The handler may keep its parts.
type Call struct {
	Method        string
	Params        json.RawMessage
	Body          []byte
	RemoteAddress string // the caller's address
}

// Decode reads the call's parameters. It fails with CodeInvalid.
func (c *Call) Decode(into any) error {
	if err := json.Unmarshal(c.Params, into); err != nil {
		return &Error{Code: CodeInvalid, Message: c.Method + ": " + err.Error()}
	}
	return nil
}

// Server answers calls.
type Server struct {
	logger *zap.Logger
	jobs   chan job      // to idle workers
	idle   atomic.Int32  // workers that wait or are about to
	done   chan struct{} // closed by Close

	mutex       sync.Mutex
	handlers    map[string]Handler
	listeners   map[net.Listener]struct{}
	connections map[*serverConnection]struct{}
	closed      bool
}

// job is a call to carry out.
type job struct {
	connection *serverConnection
	id         uint64
	call       *Call
}

// NewServer makes a server without handlers.
func NewServer(logger *zap.Logger) *Server {
	return &Server{
		logger:      logger,
		jobs:        make(chan job),
		done:        make(chan struct{}),
		handlers:    map[string]Handler{},
		listeners:   map[net.Listener]struct{}{},
		connections: map[*serverConnection]struct{}{},
	}
}

// Handle sets the handler of a method.
func (s *Server) Handle(method string, handler Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handlers[method] = handler
}

// Serve accepts connections until the listener or the server is closed. After Close it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return trace.Wrap(listener.Close())
	}
	defer s.removeListener(listener)
	for {
		accepted, err := listener.Accept()
		if err == nil {
			s.start(accepted)
			continue
		}
		if s.isClosed() {
			return nil
		}
		if !isPassing(err) {
			return trace.Wrap(err)
		}
		s.logger.Warn("accepting a connection failed", zap.Error(err))
		s.pause(acceptRetryDelay)
	}
}

// Close closes the listeners and connections. Handlers that run are told by their context; it does not wait for them.
func (s *Server) Close() {
	s.mutex.Lock()
	if s.closed {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	close(s.done)
	for listener := range s.listeners {
		_ = listener.Close()
	}
	connections := make([]*serverConnection, 0, len(s.connections))
	for connection := range s.connections {
		connections = append(connections, connection)
	}
	s.mutex.Unlock()
	for _, connection := range connections {
		connection.close()
	}
}

// start serves a connection in its own goroutine.
func (s *Server) start(accepted net.Conn) {
	connection := newServerConnection(s, accepted)
	s.mutex.Lock()
	closed := s.closed
	if !closed {
		s.connections[connection] = struct{}{}
	}
	s.mutex.Unlock()
	if closed {
		connection.close()
		return
	}
	go connection.serve()
}

// dispatch gives a job to an idle worker, or to a new one.
func (s *Server) dispatch(next job) {
	select {
	case s.jobs <- next:
	default:
		go s.work(next)
	}
}

// work carries out jobs until there are enough idle workers.
func (s *Server) work(current job) {
	for {
		current.connection.answer(current)
		current = job{} // an idle worker keeps no body in memory
		if s.idle.Add(1) > idleWorkers {
			s.idle.Add(-1)
			return
		}
		select {
		case current = <-s.jobs:
			s.idle.Add(-1)
		case <-s.done:
			return
		}
	}
}

func (s *Server) handler(method string) Handler {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.handlers[method]
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.closed {
		s.listeners[listener] = struct{}{}
	}
	return !s.closed
}

func (s *Server) removeListener(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.listeners, listener)
}

func (s *Server) removeConnection(connection *serverConnection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, connection)
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

func (s *Server) pause(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// isPassing tells whether accepting may work again later.
func isPassing(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
