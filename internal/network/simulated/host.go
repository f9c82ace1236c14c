package simulated

import (
	"cmp"
	"maps"
	"slices"
)

const (
	firstEphemeralPort = 32768
	lastPort           = 65535
	acceptBacklog      = 512 // connections of a listener that wait for Accept; further ones are refused
)

// host is a machine with at most one process. The network's mutex guards it.
type host struct {
	network           *Network
	ip                string
	poweredOff        bool   // between PowerOff and PowerOn
	generation        uint64 // increases when the process ends; a processNetwork of an earlier generation can't dial
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

// endProcess ends the host's process: it closes the listeners and resets the connections.
func (h *host) endProcess() {
	h.generation++
	for _, port := range slices.Sorted(maps.Keys(h.listeners)) {
		h.listeners[port].close()
	}
	for _, open := range h.openConnections() {
		open.abort()
	}
}

// openConnections returns the host's connections in the order of their creation, so that runs with the same seed are
// identical.
func (h *host) openConnections() []*connection {
	return slices.SortedFunc(maps.Keys(h.connections), func(a, b *connection) int { return cmp.Compare(a.number, b.number) })
}

// ephemeralPort returns the next port without a listener from the ephemeral range, for a dialed connection or for a
// listener at port 0.
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

// acceptFrom accepts or refuses a dial that has reached the host.
func (h *host) acceptFrom(client *connection) {
	if client.closed || client.failure != nil {
		return // the dial was aborted
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
