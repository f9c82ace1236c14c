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

const (
	firstEphemeralPort = 32768
	lastPort           = 65535
	acceptBacklog      = 512 // connections that wait for Accept; more are refused
)

// host is a machine. The network's mutex guards it.
type host struct {
	network     *Network
	ip          string
	off         bool   // it has no power
	generation  uint64 // grows when its process ends; older views can't dial
	lastPort    int
	listeners   map[int]*listener
	connections map[*connection]struct{}
}

func newHost(network *Network, ip string) *host {
	return &host{
		network:     network,
		ip:          ip,
		lastPort:    firstEphemeralPort,
		listeners:   map[int]*listener{},
		connections: map[*connection]struct{}{},
	}
}

// stop ends everything that the host's process had open.
func (h *host) stop() {
	h.generation++
	for _, open := range h.listeners {
		open.close()
	}
	for open := range h.connections {
		open.abort()
	}
}

// ephemeralPort returns a port that was not used for long.
func (h *host) ephemeralPort() int {
	for {
		h.lastPort++
		if h.lastPort > lastPort {
			h.lastPort = firstEphemeralPort
		}
		if h.listeners[h.lastPort] == nil {
			return h.lastPort
		}
	}
}

// acceptFrom answers a connection attempt that has reached the host.
func (h *host) acceptFrom(client *connection) {
	if client.closed || client.failure != nil {
		return // the attempt was given up
	}
	listening := h.listeners[client.remote.Port]
	if listening == nil || len(listening.waiting) >= acceptBacklog {
		client.incoming.send(client.receiveRefusal)
		return
	}
	server := newConnection(h, client.local.IP.String())
	server.local, server.remote = client.remote, client.local
	server.peer, client.peer = client, server
	listening.waiting = append(listening.waiting, server)
	listening.arrived.Signal()
	server.outgoing.send(client.receiveAcceptance)
}

// view is the network as one process on a host has it.
type view struct {
	host       *host
	generation uint64 // guarded by the network's mutex
}

// Listen accepts connections at the host's own address; the port 0 takes a free one.
func (v *view) Listen(address string) (net.Listener, error) {
	v.host.network.mutex.Lock()
	defer v.host.network.mutex.Unlock()
	port, err := v.listenPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: err}
	}
	v.generation = v.host.generation
	opened := &listener{
		host:    v.host,
		address: &net.TCPAddr{IP: net.ParseIP(v.host.ip), Port: port},
		arrived: sync.NewCond(&v.host.network.mutex),
	}
	v.host.listeners[port] = opened
	return opened, nil
}

// listenPort checks the address of a listener.
func (v *view) listenPort(address string) (int, error) {
	name, service, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	port, err := net.LookupPort("tcp", service)
	if err != nil {
		return 0, err
	}
	if name != "" && name != v.host.ip && name != net.IPv4zero.String() {
		return 0, os.NewSyscallError("bind", syscall.EADDRNOTAVAIL)
	}
	if v.host.off {
		return 0, os.NewSyscallError("bind", syscall.ENETDOWN)
	}
	if port == 0 {
		return v.host.ephemeralPort(), nil
	}
	if v.host.listeners[port] != nil {
		return 0, os.NewSyscallError("bind", syscall.EADDRINUSE)
	}
	return port, nil
}

// Dial opens a connection to an address, "ip:port". While nothing answers, it waits for the context's end.
func (v *view) Dial(ctx context.Context, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	remote := net.TCPAddrFromAddrPort(target)
	dialed, err := v.startDial(remote)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	if err := dialed.awaitOpening(ctx); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	return dialed, nil
}

// startDial sends the attempt on its way. From a host without power it gets nowhere.
func (v *view) startDial(remote *net.TCPAddr) (*connection, error) {
	v.host.network.mutex.Lock()
	defer v.host.network.mutex.Unlock()
	if !v.host.off && v.generation != v.host.generation {
		return nil, fmt.Errorf("the process on %s has ended: %w", v.host.ip, syscall.ENETDOWN)
	}
	target := v.host.network.host(remote.IP.String())
	dialed := newConnection(v.host, target.ip)
	dialed.local = &net.TCPAddr{IP: net.ParseIP(v.host.ip), Port: v.host.ephemeralPort()}
	dialed.remote = remote
	dialed.outgoing.send(func() { target.acceptFrom(dialed) })
	return dialed, nil
}
