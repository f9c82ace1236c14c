package decision

import (
	"cmp"
	"slices"
)

// workersPerKey is how many workers of a kind take the jobs of a key: each of them fetches what
// belongs to the key.
const workersPerKey = 3

// slotsAheadOfNext is how many more own slots a key's worker has in use before the next one in rank
// takes the job.
const slotsAheadOfNext = 2

// keyWorkers is the workers that rank highest for a key by rendezvous hashing, highest first, alike at all
// dispatchers. Unhealthy ones are passed over.
func keyWorkers(members []*workerState, key uint64) []*workerState {
	ranked := slices.DeleteFunc(slices.Clone(members), func(worker *workerState) bool {
		return worker.unhealthy
	})
	slices.SortStableFunc(ranked, func(a, b *workerState) int {
		return cmp.Compare(hash(key, uint64(b.Worker)), hash(key, uint64(a.Worker)))
	})
	return ranked[:min(len(ranked), workersPerKey)]
}

// searchKindsForKey looks for a worker among those of a job's key. A key leaves the first kind only once one
// of its attempts has ended there.
func (p *picker) searchKindsForKey(kinds []int, candidates [][]*workerState, s search) *workerState {
	var best *workerState
	for n, kind := range kinds {
		if n > 0 && len(s.job.attempts) == 0 {
			break
		}
		if best != nil && !p.load.reported {
			break
		}
		best = p.pickByRank(candidates[kind], best, s)
	}
	return best
}

// pickByRank takes the first worker that accepts the job, and one of a lower rank where those before it have
// so many more own slots in use. The best so far, of another kind, stands before all of them.
func (p *picker) pickByRank(ranked []*workerState, best *workerState, s search) *workerState {
	for rank, worker := range ranked {
		if !p.health.accepts(worker, s.job, s.now) {
			continue
		}
		if best == nil || best.ownSlots >= worker.ownSlots+slotsAheadOfNext*float64(rank) {
			best = worker
		}
	}
	return best
}
