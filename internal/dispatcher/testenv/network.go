package testenv

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Network is an in-memory network. Dial is refused at an address without a listener, and blocks until its context ends
// at an address in Silent.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	Silent    map[string]bool
	Dials     int // calls of Dial so far
}

type listener struct {
	net     *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// Listen returns a listener at an address; it replaces an earlier one.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{net: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address; it blocks until the listener accepts.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, silent := n.listeners[address], n.Silent[address]
	n.Dials++
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dialer returns the network's Dial in the form that the AMQP library needs.
func Dialer(n *Network) func(network, address string) (net.Conn, error) {
	return func(_, address string) (net.Conn, error) { return n.Dial(context.Background(), address) }
}

// dialContext returns the network's Dial in the form of http.Transport.DialContext.
func dialContext(n *Network) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
}
