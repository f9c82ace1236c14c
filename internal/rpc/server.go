package rpc

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// acceptRetryDelay is the pause after Accept has failed with one of temporaryErrors.
const acceptRetryDelay = 100 * time.Millisecond

// Server executes the calls of clients. It may serve several listeners, and is safe for concurrent use.
type Server struct {
	logger      *zap.Logger
	calls       chan receivedCall // received by idle workers
	idleWorkers atomic.Int32      // number of workers that wait for a call, or are about to
	done        chan struct{}     // closed by Close

	mutex       sync.Mutex         // guards the fields below
	handlers    map[string]Handler // by method
	listeners   map[net.Listener]struct{}
	connections map[*serverConnection]struct{}
	closed      bool
}

// NewServer returns a server without handlers.
func NewServer(logger *zap.Logger) *Server {
	return &Server{
		logger:      logger,
		calls:       make(chan receivedCall),
		done:        make(chan struct{}),
		handlers:    map[string]Handler{},
		listeners:   map[net.Listener]struct{}{},
		connections: map[*serverConnection]struct{}{},
	}
}

// Handle sets the handler of a method. Calls of a method without a handler fail with CodeUnknownMethod.
func (s *Server) Handle(method string, handler Handler) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handlers[method] = handler
}

// Serve accepts connections until the listener or the server is closed. It returns nil if the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		return trace.Wrap(listener.Close())
	}
	defer s.removeListener(listener)
	for {
		accepted, err := listener.Accept()
		if err == nil {
			s.serveConnection(accepted)
			continue
		}
		if s.isClosed() {
			return nil
		}
		if !isTemporary(err) {
			return trace.Wrap(err)
		}
		s.logger.Warn("accepting a connection failed", zap.Error(err))
		s.waitUnlessClosed(acceptRetryDelay)
	}
}

// Close closes the listeners and connections, and cancels the contexts of running handlers. It does not wait for the
// handlers.
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

// serveConnection starts the goroutine that serves a connection, or closes the connection if the server is closed.
func (s *Server) serveConnection(accepted net.Conn) {
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

// handler returns the handler of a method, or nil if it has none.
func (s *Server) handler(method string) Handler {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.handlers[method]
}

// addListener registers a listener for Close to close. It returns false if the server is already closed.
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

// waitUnlessClosed waits for the duration, or until the server is closed.
func (s *Server) waitUnlessClosed(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// temporaryErrors are the errors of Accept, such as a lack of descriptors or memory, after which it may succeed later.
var temporaryErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// isTemporary reports whether Accept may succeed later, after it has failed with err.
func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
