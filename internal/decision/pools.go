package decision

import (
	"cmp"
	"math"
	"slices"
)

// tenantBuckets is the number of buckets that tenants are hashed to. The first bucket has no label, each
// other one has its own.
const tenantBuckets = 2

// unlabelled is the label of the bucket whose tenants share the workers without another label.
const unlabelled = 0

// maxLabelShare is the largest part of a kind's workers that a label may have, so that some workers remain
// unlabelled.
const maxLabelShare = 0.9

// pools assigns ready workers and tenants to labels. Dispatchers with the same list of workers compute the
// same pools: rendezvous hashing ranks the workers for each label, and a change of the list moves few workers
// between pools.
type pools struct {
	locality      locality
	labelByTenant []int
	shares        []float64          // by label: share of the service of its tenants
	members       [][][]*workerState // by label and kind, local workers first
	readyCount    []float64          // by kind: number of ready workers
}

func newPools(settings *Settings, locality locality) *pools {
	p := &pools{
		locality:   locality,
		shares:     []float64{0},
		readyCount: make([]float64, settings.Kinds),
	}
	p.labelTenants(settings.Tenants)
	p.rebuild(nil)
	return p
}

// labelTenants hashes tenants to buckets. The first bucket is unlabelled. Each other bucket gets a label with
// its first tenant that has a share.
func (p *pools) labelTenants(tenants []TenantSettings) {
	var labelOfBucket [tenantBuckets]int
	for i, tenant := range tenants {
		bucket := hash(uint64(i), 1) % tenantBuckets
		hasLabel := bucket == unlabelled || labelOfBucket[bucket] != unlabelled
		if tenant.Share > 0 && !hasLabel {
			labelOfBucket[bucket] = len(p.shares)
			p.shares = append(p.shares, 0)
		}
		label := labelOfBucket[bucket]
		p.labelByTenant = append(p.labelByTenant, label)
		p.shares[label] += tenant.Share
	}
}

// rebuild computes the pools from the workers, which are ordered by ID. For each kind, each label in turn
// takes the ready workers that rank highest for it, and the remaining workers are unlabelled.
func (p *pools) rebuild(workers []*workerState) {
	p.members = make([][][]*workerState, len(p.shares))
	for kind := range p.readyCount {
		free := slices.DeleteFunc(slices.Clone(workers), func(worker *workerState) bool {
			return worker.Kind != kind || worker.State != Ready
		})
		p.readyCount[kind] = float64(len(free))
		for step := range p.shares {
			label := (step + 1) % len(p.shares) // unlabelled is last
			size := len(free)
			if label != unlabelled {
				sortByRank(free, label)
				size = p.size(label, kind, len(free))
			}
			members := free[:size]
			free = free[size:]
			p.sortLocalFirst(members)
			p.members[label] = append(p.members[label], members)
		}
	}
}

// size returns how many of the free workers of a kind a label takes: its share of the kind, but never the
// last free worker.
func (p *pools) size(label, kind, free int) int {
	fair := int(math.Round(p.readyCount[kind] * min(maxLabelShare, p.shares[label])))
	return max(min(fair, free-1), 0)
}

// sortByRank sorts workers by their rank for a label, highest first.
func sortByRank(workers []*workerState, label int) {
	slices.SortStableFunc(workers, func(a, b *workerState) int {
		return cmp.Compare(hash(uint64(b.Worker), uint64(label)), hash(uint64(a.Worker), uint64(label)))
	})
}

// sortLocalFirst moves the local workers to the front, where they form their own group.
func (p *pools) sortLocalFirst(workers []*workerState) {
	slices.SortStableFunc(workers, func(a, b *workerState) int {
		return p.locality.group(b) - p.locality.group(a)
	})
}

// poolAt returns a pool, indexed by kind: the tenant's own pool for n = 0, and the pools of the following
// labels for n > 0.
func (p *pools) poolAt(tenant, n int) [][]*workerState {
	return p.members[(p.labelByTenant[tenant]+n)%len(p.members)]
}
