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
	defaultDelay  = time.Millisecond      // one way between two hosts
	loopbackDelay = 20 * time.Microsecond // from a host to itself
	jitterDivisor = 10                    // a packet's delay varies upwards by less than delay/jitterDivisor
)

// Network is a set of hosts and the links between them. All its methods may be called at any time.
type Network struct {
	mutex  sync.Mutex // guards what follows, and all state of hosts, links, listeners and connections
	random *rand.Rand
	hosts  map[string]*host
	links  map[direction]*link
	// connections counts the ends of connections made so far.
	connections uint64
}

// New makes a network without hosts. The seed decides the variation of delays.
func New(seed uint64) *Network {
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed)),
		hosts:  map[string]*host{},
		links:  map[direction]*link{},
	}
}

// Host returns the network as a process on a host has it. After Kill and PowerOff a restarted process takes a new one, or
// listens again on the old one; until then the old one can't dial.
func (n *Network) Host(ip string) network.Network {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := n.host(ip)
	return &processNetwork{host: machine, generation: machine.generation}
}

// SetDelay sets the one-way delay between two hosts, in both directions, for packets sent from now on.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(a, b).delay = delay
	n.link(b, a).delay = delay
}

// Isolate stops all traffic between two hosts, without any error. What is sent is held until Heal.
func (n *Network) Isolate(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(a, b).isolated = true
	n.link(b, a).isolated = true
}

// IsolateOneWay stops the traffic in one direction, without any error. What is sent is held until Heal.
func (n *Network) IsolateOneWay(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).isolated = true
}

// Heal ends Isolate and IsolateOneWay between two hosts, in both directions.
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

// Kill ends the process on a host: its connections are reset, its listeners closed, and dials to it are refused until
// it listens again.
func (n *Network) Kill(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.host(ip).endProcess()
}

// ResetConnections resets a fraction of a host's connections, from 0 to 1 and drawn at random, at both ends. Its process
// and its listeners go on.
func (n *Network) ResetConnections(ip string, fraction float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, open := range n.host(ip).openConnections() {
		if n.random.Float64() < fraction {
			open.abort()
		}
	}
}

// PowerOff takes a host's power: nothing reaches or leaves it, and no other host is notified.
func (n *Network) PowerOff(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := n.host(ip)
	machine.poweredOff = true
	machine.generation++
	for _, each := range n.links {
		if each.from == machine {
			each.queue = nil
		}
	}
}

// PowerOn starts a host that was powered off, without any process: its old connections are reset, and dials are refused
// until it listens again.
func (n *Network) PowerOn(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := n.host(ip)
	if !machine.poweredOff {
		return
	}
	machine.endProcess()
	machine.poweredOff = false
	for _, each := range n.sortedLinks() {
		if each.from == machine || each.to == machine {
			each.resume()
		}
	}
	n.resetStaleConnections(machine)
}

// resetRemains resets the other ends of connections that a host has forgotten.
func (n *Network) resetStaleConnections(machine *host) {
	for _, ip := range slices.Sorted(maps.Keys(n.hosts)) {
		for _, remaining := range n.hosts[ip].openConnections() {
			if remaining.peer != nil && remaining.incoming.from == machine {
				remaining.incoming.send(remaining.receiveReset)
			}
		}
	}
}

// sortedLinks returns all links by the addresses of their ends.
func (n *Network) sortedLinks() []*link {
	return slices.SortedFunc(maps.Values(n.links), func(a, b *link) int {
		return cmp.Or(cmp.Compare(a.from.ip, b.from.ip), cmp.Compare(a.to.ip, b.to.ip))
	})
}

// host returns a host by its address. A host that was never mentioned is up and has no listeners. The caller has locked
// the mutex.
func (n *Network) host(ip string) *host {
	found := n.hosts[ip]
	if found == nil {
		found = newHost(n, ip)
		n.hosts[ip] = found
	}
	return found
}

// link returns the link from one host to another. The caller has locked the mutex.
func (n *Network) link(from, to string) *link {
	key := direction{from: from, to: to}
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
