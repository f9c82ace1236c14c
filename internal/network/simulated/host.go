package simulated

import (
	"cmp"
	"maps"
	"slices"
)

const (
	firstEphemeralPort = 32768
	lastPort           = 65535
	acceptBacklog      = 512 // connections that wait for Accept; more are refused
)

// host is a machine. The network's mutex guards it.
type host struct {
	network           *Network
	ip                string
	poweredOff        bool   // it has no power
	generation        uint64 // grows when its process ends; older ones of processNetwork can't dial
	lastEphemeralPort int
	listeners         map[int]*listener
	connections       map[*connection]struct{}
}

func newHost(network *Network, ip string) *host {
	return &host{
		network:           network,
		ip:                ip,
		lastEphemeralPort: firstEphemeralPort,
		listeners:         map[int]*listener{},
		connections:       map[*connection]struct{}{},
	}
}

// endProcess ends everything that the host's process had open.
func (h *host) endProcess() {
	h.generation++
	for _, port := range slices.Sorted(maps.Keys(h.listeners)) {
		h.listeners[port].close()
	}
	for _, open := range h.openConnections() {
		open.abort()
	}
}

// openConnections returns the host's connections in the order in which they were made, so that a play with one seed is the
// same each time.
func (h *host) openConnections() []*connection {
	return slices.SortedFunc(maps.Keys(h.connections), func(a, b *connection) int { return cmp.Compare(a.number, b.number) })
}

// ephemeralPort returns a port that was not used for long: that of a dialed connection, or of a listener at port 0.
func (h *host) ephemeralPort() int {
	for {
		h.lastEphemeralPort++
		if h.lastEphemeralPort > lastPort {
			h.lastEphemeralPort = firstEphemeralPort
		}
		if h.listeners[h.lastEphemeralPort] == nil {
			return h.lastEphemeralPort
		}
	}
}

// acceptFrom answers a connection attempt that has reached the host.
func (h *host) acceptFrom(client *connection) {
	if client.closed || client.failure != nil {
		return // the attempt was given up
	}
	listening := h.listeners[client.remote.Port]
	if listening == nil || len(listening.backlog) >= acceptBacklog {
		client.incoming.send(client.receiveRefusal)
		return
	}
	server := newConnection(h, client.local.IP.String())
	server.local, server.remote = client.remote, client.local
	server.peer, client.peer = client, server
	listening.backlog = append(listening.backlog, server)
	listening.arrived.Signal()
	server.outgoing.send(client.receiveAcceptance)
}
