package decision

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// poolsTried is how many pools a job may be sent to: its tenant's own, and the next one where nobody there
// can take it.
const poolsTried = 2

// lastChanceTicks is for how many ticks before it stops waiting a job may go to a worker without a free slot.
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
	shared    bool // many dispatchers share the workers: no job waits, and picks go by the risk of a late answer
}

// search is one look for a worker.
type search struct {
	job     *jobState
	now     time.Duration
	waiting bool // workers without a free slot count, too
}

// pick finds a worker that can take a job now, nil if there is none, and tells whether one could later.
func (p *picker) pick(job *jobState, now time.Duration) (best *workerState, anyReady bool) {
	best, anyReady = p.searchPools(search{job: job, now: now})
	if best == nil && p.mayWaitAtWorker(job, now) {
		var ready bool
		best, ready = p.searchPools(search{job: job, now: now, waiting: true})
		anyReady = anyReady || ready
	}
	if best == nil || p.shared {
		return best, anyReady
	}
	if p.forecasts.waitSeconds(best, job.Slots, now) > p.forecasts.maxWaitSeconds(job) {
		return nil, anyReady
	}
	return best, anyReady
}

// mayWaitAtWorker tells whether workers without a free slot count for a job, too: at its last
// chance, where workers report their load. A job beyond its tenant's share has no such chance
// where there are several pools.
func (p *picker) mayWaitAtWorker(job *jobState, now time.Duration) bool {
	waitingIsKnown := p.load.reported && !p.shared
	if !waitingIsKnown || job.Key != 0 {
		return false
	}
	if job.overQuota && len(p.pools.members) > 1 {
		return false
	}
	return now+lastChanceTicks*p.tick >= job.pendingUntil
}

// searchPools looks for a worker in the tenant's own pool, and if nobody there can take the job in the next
// one. Jobs beyond their tenant's share keep to its own pool.
func (p *picker) searchPools(s search) (best *workerState, anyReady bool) {
	tried := min(len(p.pools.members), poolsTried)
	if s.job.overQuota {
		tried = 1
	}
	for n := range tried {
		worker, ready := p.searchPool(p.pools.nth(s.job.Tenant, n), s)
		anyReady = anyReady || ready
		if worker != nil {
			return worker, anyReady
		}
	}
	return nil, anyReady
}

// searchPool looks for a worker in one pool, and tells whether any there is ready and open to the job. Where
// many dispatchers share workers, a warming one whose turn it is goes first, as its turns are few, and the
// best of the others is not taken if the job would too likely be late by waiting there.
func (p *picker) searchPool(pool [][]*workerState, s search) (best *workerState, anyReady bool) {
	kinds, candidates := p.orderKinds(pool, s)
	anyReady = len(kinds) > 0
	if !p.shared {
		return p.searchKinds(kinds, candidates, s), anyReady
	}
	if warming := p.firstWarming(candidates, s); warming != nil {
		return warming, anyReady
	}
	best = p.searchKinds(kinds, candidates, s)
	if best != nil && p.isTooRisky(best, s) {
		return nil, anyReady
	}
	return best, anyReady
}

// isTooRisky tells whether a job would too likely be late by waiting at a worker.
func (p *picker) isTooRisky(worker *workerState, s search) bool {
	return p.forecasts.at(worker, s.job, s.now).waitRisk > p.forecasts.maxWaitRisk(worker, s.job, s.now)
}

// firstWarming is the first worker that is warming up and may take the job.
func (p *picker) firstWarming(candidates [][]*workerState, s search) *workerState {
	for _, members := range candidates {
		for _, worker := range members {
			if !p.slowStart.isWarm(worker, s.now) && p.health.accepts(worker, s.job, s.now) {
				return worker
			}
		}
	}
	return nil
}

// orderKinds orders the kinds of a pool that have any workers for a job, by load. It gives of each kind the
// workers that are open to the job, by the kind's number.
func (p *picker) orderKinds(pool [][]*workerState, s search) (kinds []int, candidates [][]*workerState) {
	loads := make([]float64, len(pool))
	kinds = make([]int, 0, len(pool))
	candidates = make([][]*workerState, len(pool))
	for kind, members := range pool {
		members = p.gate.allowedWorkers(members, s.job, s.now)
		candidates[kind] = members
		if len(members) == 0 {
			continue
		}
		kinds = append(kinds, kind)
		loads[kind] = p.kindLoad(kind, members, s.job)
		if s.job.Key != 0 {
			candidates[kind] = keyWorkers(members, s.job.Key)
		}
	}
	slices.SortFunc(kinds, func(a, b int) int { return cmp.Compare(loads[a], loads[b]) })
	return kinds, candidates
}

// kindLoad is the load by which kinds are ordered: the own slots in use there, and a random part so that not
// all dispatchers go to the kind that seems best, for the kind's size. For a key it is a hash in place of
// the load, so that all dispatchers choose alike. A list that tells sizes tells what workers bear; without
// one speed and slots, as learned, count as well.
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

// searchKinds looks for a worker in the kinds of a pool, in their order. Where workers report their load the
// best of all kinds is taken, else that of the first kind that has any.
func (p *picker) searchKinds(kinds []int, candidates [][]*workerState, s search) *workerState {
	if s.job.Key != 0 {
		return p.searchKindsForKey(kinds, candidates, s)
	}
	var best *workerState
	for _, kind := range kinds {
		if best != nil && !p.load.reported {
			break
		}
		local, remote := p.splitLocal(candidates[kind], kind)
		best = p.sooner(best, p.pickOfTwo(local, s), s)
		best = p.sooner(best, p.pickOfTwo(remote, s), s)
	}
	return best
}

// splitLocal parts the workers of a kind, which stand local ones first, by whether they are of the
// own zone's group.
func (p *picker) splitLocal(members []*workerState, kind int) (local, remote []*workerState) {
	remoteGroup := localities * kind
	firstRemote, _ := slices.BinarySearchFunc(members, remoteGroup, func(worker *workerState, target int) int {
		return target - p.locality.group(worker) // groups fall
	})
	return members[:firstRemote], members[firstRemote:]
}

// sooner is the worker with the lower cost for a job, of two that may be nil; the first one if
// they are alike.
func (p *picker) sooner(first, second *workerState, s search) *workerState {
	if first == nil {
		return second
	}
	if second != nil && p.costsLess(second, first, s) {
		return second
	}
	return first
}

// costsLess tells whether a job costs less at a worker than at another one.
func (p *picker) costsLess(worker, other *workerState, s search) bool {
	return p.forecasts.cost(worker, s.job, s.now) < p.forecasts.cost(other, s.job, s.now)
}
