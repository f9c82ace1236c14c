package decision

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// maxPoolsTried is the number of pools that are searched for a job: its tenant's own pool, and the next one
// if no worker there can take the job.
const maxPoolsTried = 2

// lastChanceTicks is the number of ticks before pendingUntil during which a job may go to a worker without a
// free slot.
const lastChanceTicks = 2

// picker chooses the worker for a job.
type picker struct {
	random    *rand.Rand
	locality  locality
	slowStart slowStart
	workers   *workerTable
	pools     *pools
	times     *learnedTimes
	load      *loadEstimator
	delays    *startDelays
	forecasts *forecaster
	gate      *sendGate
	health    *healthFilter
	tick      time.Duration
	// sharedFleet: many dispatchers share the workers. No job stays pending, and workers are compared by the
	// risk of a late answer.
	sharedFleet bool
}

// workerSearch holds the parameters of one search for a worker.
type workerSearch struct {
	job       *jobState
	now       time.Duration
	allowFull bool // include workers without a free slot
}

// pick returns a worker that can take a job now, or nil if there is none. anyReady reports whether some
// worker could take the job later.
func (p *picker) pick(job *jobState, now time.Duration) (best *workerState, anyReady bool) {
	best, anyReady = p.searchPools(workerSearch{job: job, now: now})
	if best == nil && p.mayWaitAtWorker(job, now) {
		var ready bool
		best, ready = p.searchPools(workerSearch{job: job, now: now, allowFull: true})
		anyReady = anyReady || ready
	}
	if best == nil || p.sharedFleet {
		return best, anyReady
	}
	if p.forecasts.waitSeconds(best, job.Slots, now) > p.forecasts.maxWaitSeconds(job) {
		return nil, anyReady
	}
	return best, anyReady
}

// mayWaitAtWorker reports whether a job may go to a worker without a free slot. If workers report their load,
// a job may do so shortly before pendingUntil, unless it exceeds its tenant's share and there are several
// pools.
func (p *picker) mayWaitAtWorker(job *jobState, now time.Duration) bool {
	waitingIsKnown := p.load.reported && !p.sharedFleet
	if !waitingIsKnown || job.Key != 0 {
		return false
	}
	if job.overQuota && len(p.pools.members) > 1 {
		return false
	}
	return now+lastChanceTicks*p.tick >= job.pendingUntil
}

// searchPools searches the tenant's own pool for a worker, and then the next pool. A job that exceeds its
// tenant's share stays in the tenant's own pool.
func (p *picker) searchPools(search workerSearch) (best *workerState, anyReady bool) {
	tried := min(len(p.pools.members), maxPoolsTried)
	if search.job.overQuota {
		tried = 1
	}
	for n := range tried {
		worker, ready := p.searchPool(p.pools.poolAt(search.job.Tenant, n), search)
		anyReady = anyReady || ready
		if worker != nil {
			return worker, anyReady
		}
	}
	return nil, anyReady
}

// searchPool searches one pool for a worker. anyReady reports whether the pool has ready workers that may
// take the job. If many dispatchers share the workers, a warming-up worker with a permit is taken first,
// because its permits are few. The best of the other workers is not taken if the risk of a late answer
// because of waiting is too high.
func (p *picker) searchPool(pool [][]*workerState, search workerSearch) (best *workerState, anyReady bool) {
	kinds, candidates := p.orderKinds(pool, search)
	anyReady = len(kinds) > 0
	if !p.sharedFleet {
		return p.searchKinds(kinds, candidates, search), anyReady
	}
	if warming := p.firstWarming(candidates, search); warming != nil {
		return warming, anyReady
	}
	best = p.searchKinds(kinds, candidates, search)
	if best != nil && p.isTooRisky(best, search) {
		return nil, anyReady
	}
	return best, anyReady
}

// isTooRisky reports whether the risk that a job is late because of waiting at a worker exceeds the limit for
// the job.
func (p *picker) isTooRisky(worker *workerState, search workerSearch) bool {
	return p.forecasts.forecastAt(worker, search.job, search.now).waitRisk >
		p.forecasts.maxWaitRisk(worker, search.job, search.now)
}

// firstWarming returns the first warming-up worker that accepts the job.
func (p *picker) firstWarming(candidates [][]*workerState, search workerSearch) *workerState {
	for _, members := range candidates {
		for _, worker := range members {
			if !p.slowStart.isWarm(worker, search.now) && p.health.accepts(worker, search.job, search.now) {
				return worker
			}
		}
	}
	return nil
}

// orderKinds returns the kinds of a pool that have workers for a job, in ascending order of load. candidates
// holds the workers that may take the job, indexed by kind.
func (p *picker) orderKinds(pool [][]*workerState,
	search workerSearch) (kinds []int, candidates [][]*workerState) {
	loads := make([]float64, len(pool))
	kinds = make([]int, 0, len(pool))
	candidates = make([][]*workerState, len(pool))
	for kind, members := range pool {
		members = p.gate.allowedWorkers(members, search.job, search.now)
		candidates[kind] = members
		if len(members) == 0 {
			continue
		}
		kinds = append(kinds, kind)
		loads[kind] = p.kindLoad(kind, members, search.job)
		if search.job.Key != 0 {
			candidates[kind] = keyWorkers(members, search.job.Key)
		}
	}
	slices.SortFunc(kinds, func(a, b int) int { return cmp.Compare(loads[a], loads[b]) })
	return kinds, candidates
}

// kindLoad returns the load by which kinds are ordered: the own slots in use plus a random part, divided by
// the size of the kind. The random part keeps dispatchers from all choosing the same kind. For a job with a
// key, a hash replaces the load, so that all dispatchers choose the same kind. The sizes are the listed
// weights. If the list has none, the learned slowness and slots of the kind count as well.
func (p *picker) kindLoad(kind int, members []*workerState, job *jobState) float64 {
	load := p.random.ExpFloat64()
	size := 0.0
	for _, worker := range members {
		load += worker.ownSlots
		size += worker.Weight
	}
	if job.Key != 0 {
		load = exponentialHash(job.Key, uint64(kind))
	}
	load /= size
	if !p.workers.weighted {
		load *= p.times.slowness[kind] / p.load.slots(kind)
	}
	return load
}

// searchKinds searches the kinds of a pool for a worker, in their order. If workers report their load, it
// returns the best worker of all kinds. Otherwise it returns the best worker of the first kind that has one.
func (p *picker) searchKinds(kinds []int, candidates [][]*workerState, search workerSearch) *workerState {
	if search.job.Key != 0 {
		return p.searchKindsForKey(kinds, candidates, search)
	}
	var best *workerState
	for _, kind := range kinds {
		if best != nil && !p.load.reported {
			break
		}
		local, remote := p.splitLocal(candidates[kind], kind)
		best = p.cheaper(best, p.pickOfTwo(local, search), search)
		best = p.cheaper(best, p.pickOfTwo(remote, search), search)
	}
	return best
}

// splitLocal splits the workers of a kind, which are ordered local first, into the local group and the
// others.
func (p *picker) splitLocal(members []*workerState, kind int) (local, remote []*workerState) {
	remoteGroup := localities * kind
	firstRemote, _ := slices.BinarySearchFunc(members, remoteGroup, func(worker *workerState, target int) int {
		return target - p.locality.group(worker) // groups are in descending order
	})
	return members[:firstRemote], members[firstRemote:]
}

// cheaper returns the worker with the lower cost for a job, and the first one if the costs are equal. Either
// may be nil.
func (p *picker) cheaper(first, second *workerState, search workerSearch) *workerState {
	if first == nil {
		return second
	}
	if second != nil && p.costsLess(second, first, search) {
		return second
	}
	return first
}

// costsLess reports whether a job costs less at worker than at other.
func (p *picker) costsLess(worker, other *workerState, search workerSearch) bool {
	return p.forecasts.cost(worker, search.job, search.now) < p.forecasts.cost(other, search.job, search.now)
}
