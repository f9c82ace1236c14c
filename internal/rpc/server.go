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

// acceptRetryDelay is the pause after an accept that failed for want of descriptors or memory.
const acceptRetryDelay = 100 * time.Millisecond

// Server answers calls. It may serve several listeners, and its methods may be called concurrently.
type Server struct {
	logger      *zap.Logger
	calls       chan receivedCall // to idle workers
	idleWorkers atomic.Int32      // workers that wait or are about to
	done        chan struct{}     // closed by Close

	mutex       sync.Mutex         // guards what follows
	handlers    map[string]Handler // by method
	listeners   map[net.Listener]struct{}
	connections map[*serverConnection]struct{}
	closed      bool
}

// NewServer makes a server without handlers.
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

// Handle sets the handler of a method. Calls of a method without handler fail with CodeUnknownMethod.
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

// Close closes the listeners and connections. The contexts of handlers that run end; it does not wait for them.
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

// serveConnection serves a connection in a goroutine of its own.
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

// handler returns the handler of a method, or nil.
func (s *Server) handler(method string) Handler {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.handlers[method]
}

// addListener has Close close a listener, and returns false where the server is closed already.
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

// waitUnlessClosed waits for a time, or until the server is closed.
func (s *Server) waitUnlessClosed(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.done:
	}
}

// temporaryErrors are those after which accepting may work again later.
var temporaryErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// isTemporary reports whether accepting may work again later.
func isTemporary(err error) bool {
	for _, temporary := range temporaryErrors {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}
