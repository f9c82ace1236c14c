package decision

import (
	"cmp"
	"slices"
)

// workersPerKey is the number of workers of a kind that serve the jobs of a key. Each of them has to fetch
// the data of the key.
const workersPerKey = 3

// rankSlotMargin is the surplus of own slots in use at a worker, compared with the next worker in the key's
// ranking, at which a job goes to that next worker.
const rankSlotMargin = 2

// keyWorkers returns the workers that rank highest for a key by rendezvous hashing, highest first. The
// ranking is the same at all dispatchers. Unhealthy workers are left out.
func keyWorkers(members []*workerState, key uint64) []*workerState {
	ranked := slices.DeleteFunc(slices.Clone(members), func(worker *workerState) bool {
		return worker.unhealthy
	})
	slices.SortStableFunc(ranked, func(a, b *workerState) int {
		return cmp.Compare(hash(key, uint64(b.Worker)), hash(key, uint64(a.Worker)))
	})
	return ranked[:min(len(ranked), workersPerKey)]
}

// searchKindsForKey searches the kinds for a worker for a job with a key. The job leaves the first kind only
// after one of its attempts.
func (p *picker) searchKindsForKey(kinds []int, candidates [][]*workerState,
	search workerSearch) *workerState {
	var best *workerState
	for n, kind := range kinds {
		if n > 0 && len(search.job.attempts) == 0 {
			break
		}
		if best != nil && !p.load.reported {
			break
		}
		best = p.pickByRank(candidates[kind], best, search)
	}
	return best
}

// pickByRank returns the first worker in the ranking that accepts the job, or one of a lower rank if the
// workers before it have rankSlotMargin more own slots in use for each rank. The best worker so far, of
// another kind, ranks before all of them.
func (p *picker) pickByRank(ranked []*workerState, best *workerState, search workerSearch) *workerState {
	for rank, worker := range ranked {
		if !p.health.accepts(worker, search.job, search.now) {
			continue
		}
		if best == nil || best.ownSlots >= worker.ownSlots+rankSlotMargin*float64(rank) {
			best = worker
		}
	}
	return best
}
