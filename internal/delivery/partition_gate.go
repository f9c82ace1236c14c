package delivery

import "sync"

// partitionGates decide whether an attempt may start, and count the attempts in flight. Pauses and releases take effect
// as soon as they return, without waiting for the event loop: a partition's generation fences off messages that were
// submitted before its release.
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

// of returns a partition's gate. The mutex is held.
func (g *partitionGates) of(partition int) *partitionGate {
	found := g.partitions[partition]
	if found == nil {
		found = &partitionGate{}
		g.partitions[partition] = found
	}
	return found
}

// isOpen tells whether an attempt could start now.
func (g *partitionGates) isOpen(partition int, generation uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.admits(g.of(partition), generation)
}

// admits tells whether a gate lets an attempt of a generation start. The mutex is held.
func (g *partitionGates) admits(p *partitionGate, generation uint64) bool {
	return !g.paused && !p.paused && p.generation == generation
}

// enter counts an attempt as in flight and returns true, or returns false if it may not start.
func (g *partitionGates) enter(partition int, generation uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.of(partition)
	if !g.admits(p, generation) {
		return false
	}
	p.attempts++
	g.attempts++
	return true
}

// leave counts an attempt that enter has admitted as finished.
func (g *partitionGates) leave(partition int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.of(partition).attempts--
	g.attempts--
}

func (g *partitionGates) generation(partition int) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.of(partition).generation
}

// release begins a partition's next generation and returns it.
func (g *partitionGates) release(partition int) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.of(partition)
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
	g.of(partition).paused = paused
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
	return g.of(partition).attempts
}
