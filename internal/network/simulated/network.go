// Package simulated is an in-memory network for tests. Hosts are connected by links with a delay, which can be cut and
// healed; hosts can be killed and lose their power.
//
// It is made for the bubbles of testing/synctest: create the network inside the bubble. All waiting is on condition
// variables and timers, so the bubble's clock moves on while connections wait.
package simulated

import (
	"math/rand/v2"
	"sync"
	"time"

	"gladepick/internal/network"
)

const (
	defaultDelay  = time.Millisecond      // one way between two hosts
	loopbackDelay = 20 * time.Microsecond // from a host to itself
	jitterPart    = 10                    // a packet's delay varies upwards by less than delay/jitterPart
)

// Network is a set of hosts and the links between them. All its methods may be called at any time.
type Network struct {
	mutex  sync.Mutex // guards all state of hosts, links, listeners and connections
	random *rand.Rand
	hosts  map[string]*host
	links  map[route]*link
}

// New makes a network without hosts. The seed decides the variation of delays.
func New(seed uint64) *Network {
	return &Network{
		random: rand.New(rand.NewPCG(seed, seed)),
		hosts:  map[string]*host{},
		links:  map[route]*link{},
	}
}

// Host returns a machine's view of the network. After Kill and PowerOff a restarted process takes a new view, or listens
// again on the old one; until then the old view can't dial.
func (n *Network) Host(ip string) network.Network {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := n.host(ip)
	return &view{host: machine, generation: machine.generation}
}

// SetDelay sets the one-way delay between two hosts, in both directions, for packets sent from now on.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(a, b).delay = delay
	n.link(b, a).delay = delay
}

// Isolate silently stops all traffic between two hosts. What is sent is held until Heal.
func (n *Network) Isolate(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(a, b).cut = true
	n.link(b, a).cut = true
}

// IsolateOneWay silently stops the traffic in one direction. What is sent is held until Heal.
func (n *Network) IsolateOneWay(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.link(from, to).cut = true
}

// Heal ends Isolate and IsolateOneWay between two hosts, in both directions.
func (n *Network) Heal(a, b string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, healed := range []*link{n.link(a, b), n.link(b, a)} {
		if healed.cut {
			healed.cut = false
			healed.resume()
		}
	}
}

// Kill ends the process on a host: its connections are reset, its listeners closed, and dials to it are refused until
// it listens again.
func (n *Network) Kill(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.host(ip).stop()
}

// ResetConnections resets a part of a host's connections, at both ends. Its process and its listeners go on.
func (n *Network) ResetConnections(ip string, part float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for open := range n.host(ip).connections {
		if n.random.Float64() < part {
			open.abort()
		}
	}
}

// PowerOff silences a host: nothing reaches or leaves it, and nobody is told.
func (n *Network) PowerOff(ip string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := n.host(ip)
	machine.off = true
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
	if !machine.off {
		return
	}
	machine.stop()
	machine.off = false
	for _, each := range n.links {
		if each.from == machine || each.to == machine {
			each.resume()
		}
	}
	n.resetRemains(machine)
}

// resetRemains resets the other ends of connections that a host has forgotten.
func (n *Network) resetRemains(machine *host) {
	for _, other := range n.hosts {
		for remaining := range other.connections {
			if remaining.peer != nil && remaining.incoming.from == machine {
				remaining.incoming.send(remaining.receiveReset)
			}
		}
	}
}

// host returns a host by its address. A host that was never mentioned is up and has no listeners.
func (n *Network) host(ip string) *host {
	found := n.hosts[ip]
	if found == nil {
		found = newHost(n, ip)
		n.hosts[ip] = found
	}
	return found
}

// link returns the link from one host to another.
func (n *Network) link(from, to string) *link {
	direction := route{from: from, to: to}
	found := n.links[direction]
	if found == nil {
		found = &link{network: n, from: n.host(from), to: n.host(to), delay: defaultDelay}
		if from == to {
			found.delay = loopbackDelay
		}
		n.links[direction] = found
	}
	return found
}
