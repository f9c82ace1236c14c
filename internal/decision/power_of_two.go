package decision

// pickOfTwo draws two workers and takes the better one that accepts the job (Mitzenmacher, "The Power
// of Two Choices in Randomized Load Balancing"). If neither does, the next one after a random position
// that does is taken.
func (p *picker) pickOfTwo(members []*workerState, s search) *workerState {
	if len(members) == 0 {
		return nil
	}
	pair := p.drawPair(members, s)
	start := p.random.IntN(len(members))
	var best *workerState
	for _, worker := range pair {
		if best != nil && !p.prefers(worker, best, s) {
			continue
		}
		if p.accepts(worker, s) {
			best = worker
		}
	}
	for n := 0; n < len(members) && best == nil; n++ {
		worker := members[(start+len(pair)+n)%len(members)]
		if p.accepts(worker, s) {
			best = worker
		}
	}
	return best
}

// drawPair draws two workers, different ones if there are so many. One that is connected and began its last
// job at once stands for the first of them: it saves making a connection.
func (p *picker) drawPair(members []*workerState, s search) [2]*workerState {
	first := p.random.IntN(len(members))
	second := 0
	if len(members) > 1 {
		second = (first + 1 + p.random.IntN(len(members)-1)) % len(members)
	}
	pair := [2]*workerState{members[first], members[second]}
	prompt := 0
	for _, worker := range members {
		if !p.isPrompt(worker, s) {
			continue
		}
		prompt++
		if p.random.IntN(prompt) == 0 { // each of them is drawn with the same chance
			pair[0] = worker
		}
	}
	return pair
}

// isPrompt tells whether a worker has an idle connection and began its last job at once.
func (p *picker) isPrompt(worker *workerState, s search) bool {
	return worker.startedAtOnce && p.delays.isConnected(worker, s.now)
}

// accepts tells whether a worker takes a job now, and has a free slot for it where that counts.
func (p *picker) accepts(worker *workerState, s search) bool {
	if !p.health.accepts(worker, s.job, s.now) {
		return false
	}
	mayBeFull := s.waiting || p.shared
	return mayBeFull || p.forecasts.hasFreeSlot(worker, s.job, s.now)
}

// prefers tells whether a worker is better for a job than another one: it has fewer own slots in use for its
// size, or as many in use and is nearer.
func (p *picker) prefers(worker, other *workerState, s search) bool {
	if worker.ownSlots*other.Weight < other.ownSlots*worker.Weight {
		return true
	}
	return worker.ownSlots == other.ownSlots && p.isNearer(worker, other, s)
}

// isNearer tells whether a job costs less at a worker than at another one, where many dispatchers share
// workers; else whether it alone is local, unless the other one is prompt.
func (p *picker) isNearer(worker, other *workerState, s search) bool {
	if p.shared {
		return p.costsLess(worker, other, s)
	}
	if p.isPrompt(other, s) {
		return false
	}
	return p.locality.isLocal(worker) && !p.locality.isLocal(other)
}
