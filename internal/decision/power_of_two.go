package decision

// pickOfTwo draws two workers and returns the better one that accepts the job (Mitzenmacher, "The Power of
// Two Choices in Randomized Load Balancing"). If neither accepts it, pickOfTwo searches the workers from a
// random position and returns the first one that accepts the job.
func (p *picker) pickOfTwo(members []*workerState, search workerSearch) *workerState {
	if len(members) == 0 {
		return nil
	}
	pair := p.drawPair(members, search)
	start := p.random.IntN(len(members))
	var best *workerState
	for _, worker := range pair {
		if best != nil && !p.prefers(worker, best, search) {
			continue
		}
		if p.accepts(worker, search) {
			best = worker
		}
	}
	for n := 0; n < len(members) && best == nil; n++ {
		worker := members[(start+len(pair)+n)%len(members)]
		if p.accepts(worker, search) {
			best = worker
		}
	}
	return best
}

// drawPair draws two workers, distinct if there are at least two. A prompt worker, if there is one, replaces
// the first of them, which saves setting up a connection.
func (p *picker) drawPair(members []*workerState, search workerSearch) [2]*workerState {
	first := p.random.IntN(len(members))
	second := 0
	if len(members) > 1 {
		second = (first + 1 + p.random.IntN(len(members)-1)) % len(members)
	}
	pair := [2]*workerState{members[first], members[second]}
	prompt := 0
	for _, worker := range members {
		if !p.isPrompt(worker, search) {
			continue
		}
		prompt++
		if p.random.IntN(prompt) == 0 { // all prompt workers have the same chance
			pair[0] = worker
		}
	}
	return pair
}

// isPrompt reports whether a worker has an idle connection and started its last job at once.
func (p *picker) isPrompt(worker *workerState, search workerSearch) bool {
	return worker.startedPromptly && p.delays.isConnected(worker, search.now)
}

// accepts reports whether a worker takes a job now and, if full workers are excluded, has a free slot for
// it.
func (p *picker) accepts(worker *workerState, search workerSearch) bool {
	if !p.health.accepts(worker, search.job, search.now) {
		return false
	}
	mayBeFull := search.allowFull || p.sharedFleet
	return mayBeFull || p.forecasts.hasFreeSlot(worker, search.job, search.now)
}

// prefers reports whether worker is better for a job than other: it has fewer own slots in use for its
// weight, or as many in use and is nearer.
func (p *picker) prefers(worker, other *workerState, search workerSearch) bool {
	if worker.ownSlots*other.Weight < other.ownSlots*worker.Weight {
		return true
	}
	return worker.ownSlots == other.ownSlots && p.isNearer(worker, other, search)
}

// isNearer compares two workers for a job. If many dispatchers share the workers, it reports whether the job
// costs less at worker than at other; otherwise, whether only worker is local and other is not prompt.
func (p *picker) isNearer(worker, other *workerState, search workerSearch) bool {
	if p.sharedFleet {
		return p.costsLess(worker, other, search)
	}
	if p.isPrompt(other, search) {
		return false
	}
	return p.locality.isLocal(worker) && !p.locality.isLocal(other)
}
