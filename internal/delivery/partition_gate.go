package delivery

import "sync"

// partitionGates decides whether an attempt may start, and counts the attempts in flight. Pauses and releases take
// effect before they return, without waiting for the event loop. The generation of a partition acts as a fencing token:
// messages that were submitted before a release may not start after it.
type partitionGates struct {
	mutex      sync.Mutex // guards everything below
	paused     bool       // all partitions
	attempts   int        // in flight, of all partitions
	partitions map[int]*partitionGate
}

// partitionGate is the state of one partition.
type partitionGate struct {
	paused     bool
	generation uint64 // grows with each release; attempts of an older generation may not start
	attempts   int    // in flight
}

func newPartitionGates() *partitionGates {
	return &partitionGates{partitions: make(map[int]*partitionGate)}
}

// gate returns the gate of a partition and creates it if there is none. The caller holds the mutex.
func (g *partitionGates) gate(partition int) *partitionGate {
	p := g.partitions[partition]
	if p == nil {
		p = &partitionGate{}
		g.partitions[partition] = p
	}
	return p
}

// isOpen reports whether an attempt could start now.
func (g *partitionGates) isOpen(partition int, generation uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.admits(g.gate(partition), generation)
}

// admits reports whether a gate lets an attempt of a generation start. The caller holds the mutex.
func (g *partitionGates) admits(p *partitionGate, generation uint64) bool {
	return !g.paused && !p.paused && p.generation == generation
}

// enter reports whether an attempt may start. If it may, enter counts it as in flight.
func (g *partitionGates) enter(partition int, generation uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.gate(partition)
	if !g.admits(p, generation) {
		return false
	}
	p.attempts++
	g.attempts++
	return true
}

// leave ends an attempt that enter has admitted.
func (g *partitionGates) leave(partition int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.gate(partition).attempts--
	g.attempts--
}

func (g *partitionGates) generation(partition int) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.gate(partition).generation
}

// release starts the next generation of a partition and returns it.
func (g *partitionGates) release(partition int) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.gate(partition)
	p.generation++
	return p.generation
}

func (g *partitionGates) setPaused(paused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.paused = paused
}

func (g *partitionGates) pause()  { g.setPaused(true) }
func (g *partitionGates) resume() { g.setPaused(false) }

func (g *partitionGates) isPaused() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.paused
}

func (g *partitionGates) setPartitionPaused(partition int, paused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.gate(partition).paused = paused
}

func (g *partitionGates) pausePartition(partition int)  { g.setPartitionPaused(partition, true) }
func (g *partitionGates) resumePartition(partition int) { g.setPartitionPaused(partition, false) }

func (g *partitionGates) inFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.attempts
}

func (g *partitionGates) inFlightOf(partition int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.gate(partition).attempts
}
