package simulated

import (
	"net"
	"sync"
)

// listener implements net.Listener. The network's mutex guards it.
type listener struct {
	host    *host
	address *net.TCPAddr
	waiting []*connection // opened and not yet accepted
	arrived *sync.Cond
	closed  bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.host.network.mutex.Lock()
	defer l.host.network.mutex.Unlock()
	for len(l.waiting) == 0 && !l.closed {
		l.arrived.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
	accepted := l.waiting[0]
	l.waiting = l.waiting[1:]
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

// close gives the port free and resets the connections that nobody has accepted.
func (l *listener) close() {
	l.closed = true
	delete(l.host.listeners, l.address.Port)
	for _, unaccepted := range l.waiting {
		unaccepted.abort()
	}
	l.waiting = nil
	l.arrived.Broadcast()
}
