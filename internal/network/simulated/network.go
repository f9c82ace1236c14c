package simulated

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gladepick/internal/network"
)

const (
	defaultDelay  = time.Millisecond      // one-way delay between two hosts
	loopbackDelay = 20 * time.Microsecond // one-way delay from a host to itself
	jitterDivisor = 10                    // the jitter added to a delay is less than delay/jitterDivisor
)

// Network is a set of hosts and the links between them. Its methods are safe for concurrent use.
type Network struct {
	mutex  sync.Mutex // guards the fields below, and the state of all hosts, links, listeners and connections
	random *rand.Rand
	hosts  map[string]*host
	links  map[linkKey]*link
	// connectionCount is the number of ends of connections created so far.
	connectionCount uint64
}

// New returns a network without hosts. The seed determines the jitter of the delays and the draws of ResetConnections.
func New(seed uint64) *Network {
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed)),
		hosts:  map[string]*host{},
		links:  map[linkKey]*link{},
	}
}

// Host returns the network of a process on the host with the given IP address. Kill and PowerOff end the process: the
// returned network can't dial afterwards, until Listen is called on it. A restarted process calls Host again or reuses
// the network and starts with Listen.
func (n *Network) Host(ip string) network.Network {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	owner := n.host(ip)
	return &processNetwork{host: owner, generation: owner.generation}
}

// SetDelay sets the one-way delay between two hosts, in both directions, for packets sent after the call.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(a, b).delay = delay
	n.link(b, a).delay = delay
}

// Isolate stops the traffic between two hosts in both directions, without any error. Packets are held until Heal.
func (n *Network) Isolate(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(a, b).isolated = true
	n.link(b, a).isolated = true
}

// IsolateOneWay stops the traffic in one direction, without any error. Packets are held until Heal.
func (n *Network) IsolateOneWay(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).isolated = true
}

// Heal reverts Isolate and IsolateOneWay between two hosts, in both directions, and sends the held packets.
func (n *Network) Heal(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, healed := range []*link{n.link(a, b), n.link(b, a)} {
		if healed.isolated {
			healed.isolated = false
			healed.resume()
		}
	}
}

// Kill ends the process on a host. Its connections are reset, its listeners are closed, and dials to the host are
// refused until a process listens again.
func (n *Network) Kill(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.host(ip).endProcess()
}

// ResetConnections resets each connection of a host, at both ends, with a probability of fraction, from 0 to 1. The
// process and its listeners continue.
func (n *Network) ResetConnections(ip string, fraction float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, open := range n.host(ip).openConnections() {
		if n.random.Float64() < fraction {
			open.abort()
		}
	}
}

// PowerOff powers a host off. Packets neither reach nor leave it, and the other hosts are not notified.
func (n *Network) PowerOff(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target := n.host(ip)
	target.poweredOff = true
	target.generation++
	for _, candidate := range n.links {
		if candidate.from == target {
			candidate.queue = nil
		}
	}
}

// PowerOn powers on a host that was powered off, without starting a process. Its old connections are reset, and dials
// to it are refused until a process listens again.
func (n *Network) PowerOn(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	target := n.host(ip)
	if !target.poweredOff {
		return
	}
	target.endProcess()
	target.poweredOff = false
	for _, candidate := range n.sortedLinks() {
		if candidate.from == target || candidate.to == target {
			candidate.resume()
		}
	}
	n.resetStaleConnections(target)
}

// resetStaleConnections resets the other ends of the connections that a restarted host no longer has.
func (n *Network) resetStaleConnections(restarted *host) {
	for _, ip := range slices.Sorted(maps.Keys(n.hosts)) {
		for _, remaining := range n.hosts[ip].openConnections() {
			if remaining.peer != nil && remaining.incoming.from == restarted {
				remaining.incoming.send(remaining.receiveReset)
			}
		}
	}
}

// sortedLinks returns all links in the order of their hosts' addresses.
func (n *Network) sortedLinks() []*link {
	return slices.SortedFunc(maps.Values(n.links), func(a, b *link) int {
		return cmp.Or(cmp.Compare(a.from.ip, b.from.ip), cmp.Compare(a.to.ip, b.to.ip))
	})
}

// host returns the host with an IP address, and creates it on first use. A new host is powered on and has no listeners.
// The caller holds the mutex.
func (n *Network) host(ip string) *host {
	found := n.hosts[ip]
	if found == nil {
		found = newHost(n, ip)
		n.hosts[ip] = found
	}
	return found
}

// link returns the link from one host to another, and creates it on first use. The caller holds the mutex.
func (n *Network) link(from, to string) *link {
	key := linkKey{from: from, to: to}
	found := n.links[key]
	if found == nil {
		found = &link{network: n, from: n.host(from), to: n.host(to), delay: defaultDelay}
		if from == to {
			found.delay = loopbackDelay
		}
		n.links[key] = found
	}
	return found
}
