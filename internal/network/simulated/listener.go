package simulated

import (
	"net"
	"sync"
)

// listener accepts the connections to one port of a host. It implements net.Listener.
type listener struct {
	host    *host
	address *net.TCPAddr
	backlog []*connection // connections that wait for Accept
	arrived *sync.Cond
	closed  bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.host.network.mutex.Lock()
	defer l.host.network.mutex.Unlock()
	for len(l.backlog) == 0 && !l.closed {
		l.arrived.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
	accepted := l.backlog[0]
	l.backlog = l.backlog[1:]
	return accepted, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.host.network.mutex.Lock()
	defer l.host.network.mutex.Unlock()
	if l.closed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// close releases the port and resets the connections that wait for Accept.
func (l *listener) close() {
	l.closed = true
	delete(l.host.listeners, l.address.Port)
	for _, unaccepted := range l.backlog {
		unaccepted.abort()
	}
	l.backlog = nil
	l.arrived.Broadcast()
}
