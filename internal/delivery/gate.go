package delivery

import "sync"

// gate decides whether an attempt may start, and counts those that have. Pauses and releases hold as soon as they
// return, without waiting for the loop.
type gate struct {
	mutex      sync.Mutex
	paused     bool
	total      int
	partitions map[int]*partitionGate
}

// partitionGate is a partition's part of the gate.
type partitionGate struct {
	paused     bool
	generation uint64 // grows with each release; messages of an older generation may not start
	flying     int
}

func newGate() *gate { return &gate{partitions: make(map[int]*partitionGate)} }

// of returns a partition's gate. The mutex is held.
func (g *gate) of(partition int) *partitionGate {
	found := g.partitions[partition]
	if found == nil {
		found = &partitionGate{}
		g.partitions[partition] = found
	}
	return found
}

// open tells whether an attempt could start now.
func (g *gate) open(partition int, generation uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.passes(g.of(partition), generation)
}

func (g *gate) passes(p *partitionGate, generation uint64) bool {
	return !g.paused && !p.paused && p.generation == generation
}

// enter counts an attempt in, unless it may not start.
func (g *gate) enter(partition int, generation uint64) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.of(partition)
	if !g.passes(p, generation) {
		return false
	}
	p.flying++
	g.total++
	return true
}

// leave counts an attempt out.
func (g *gate) leave(partition int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.of(partition).flying--
	g.total--
}

func (g *gate) generation(partition int) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.of(partition).generation
}

// release begins a partition's next generation and returns it.
func (g *gate) release(partition int) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.of(partition)
	p.generation++
	return p.generation
}

func (g *gate) setPaused(paused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.paused = paused
}

func (g *gate) pause()  { g.setPaused(true) }
func (g *gate) resume() { g.setPaused(false) }

func (g *gate) isPaused() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.paused
}

func (g *gate) setPartitionPaused(partition int, paused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.of(partition).paused = paused
}

func (g *gate) pausePartition(partition int)  { g.setPartitionPaused(partition, true) }
func (g *gate) resumePartition(partition int) { g.setPartitionPaused(partition, false) }

func (g *gate) inFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.total
}

func (g *gate) inFlightOf(partition int) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.of(partition).flying
}
