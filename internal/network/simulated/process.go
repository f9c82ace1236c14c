package simulated

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
)

// processNetwork is the network of a process on a host. It implements network.Network.
type processNetwork struct {
	host       *host
	generation uint64 // generation of the host in which the process runs; Listen sets it to the current one
}

// Listen accepts connections at a port of the host; port 0 selects a free one. The IP address must be the host's,
// 0.0.0.0 or empty.
func (p *processNetwork) Listen(address string) (net.Listener, error) {
	p.host.network.mutex.Lock()
	defer p.host.network.mutex.Unlock()
	port, err := p.listenPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	p.generation = p.host.generation
	opened := &listener{
		host:    p.host,
		address: &net.TCPAddr{IP: net.ParseIP(p.host.ip), Port: port},
		arrived: sync.NewCond(&p.host.network.mutex),
	}
	p.host.listeners[port] = opened
	return opened, nil
}

// listenPort checks the address of a listener and returns its port.
func (p *processNetwork) listenPort(address string) (int, error) {
	name, service, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	port, err := net.LookupPort("tcp", service)
	if err != nil {
		return 0, err
	}
	if name != "" && name != p.host.ip && name != net.IPv4zero.String() {
		return 0, os.NewSyscallError("bind", syscall.EADDRNOTAVAIL)
	}
	if p.host.poweredOff {
		return 0, os.NewSyscallError("bind", syscall.ENETDOWN)
	}
	if port == 0 {
		return p.host.ephemeralPort(), nil
	}
	if p.host.listeners[port] != nil {
		return 0, os.NewSyscallError("bind", syscall.EADDRINUSE)
	}
	return port, nil
}

// Dial opens a connection to an address, "ip:port". Without any response it waits until the context ends.
func (p *processNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	remote := net.TCPAddrFromAddrPort(target)
	dialed, err := p.startDial(remote)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	if err := dialed.awaitOpening(ctx); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	return dialed, nil
}

// startDial sends a connection request. A host that is powered off sends nothing, so the dial gets no response. It
// locks the mutex.
func (p *processNetwork) startDial(remote *net.TCPAddr) (*connection, error) {
	p.host.network.mutex.Lock()
	defer p.host.network.mutex.Unlock()
	if !p.host.poweredOff && p.generation != p.host.generation {
		return nil, fmt.Errorf("the process on %s has ended: %w", p.host.ip, syscall.ENETDOWN)
	}
	target := p.host.network.host(remote.IP.String())
	dialed := newConnection(p.host, target.ip)
	dialed.local = &net.TCPAddr{IP: net.ParseIP(p.host.ip), Port: p.host.ephemeralPort()}
	dialed.remote = remote
	dialed.outgoing.send(func() { target.acceptFrom(dialed) })
	return dialed, nil
}
