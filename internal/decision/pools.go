package decision

import (
	"cmp"
	"math"
	"slices"
)

// tenantBuckets is into how many buckets tenants are hashed: the first one has no label, each other
// one has one.
const tenantBuckets = 2

// unlabelled is the label of the bucket whose tenants share the workers that no other label has.
const unlabelled = 0

// maxLabelShare is the largest part of a kind's workers that a label may have, so that some are left over.
const maxLabelShare = 0.9

// pools assigns the ready workers to labels, and tenants to labels. All dispatchers that have the same list
// have the same pools, as rendezvous hashing ranks the workers for each label, and a change of the list
// moves few workers.
type pools struct {
	locality      locality
	labelOfTenant []int
	shares        []float64          // by label: the part of the service that its tenants have
	members       [][][]*workerState // by label and kind; the own zone's come first
	ready         []float64          // by kind: number of ready workers
}

func newPools(settings *Settings, locality locality) *pools {
	p := &pools{
		locality: locality,
		shares:   []float64{0},
		ready:    make([]float64, settings.Kinds),
	}
	p.labelTenants(settings.Tenants)
	p.rebuild(nil)
	return p
}

// labelTenants hashes tenants to buckets. The first bucket is unlabelled; another one gets a label with its
// first tenant that has a share.
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
		p.labelOfTenant = append(p.labelOfTenant, label)
		p.shares[label] += tenant.Share
	}
}

// rebuild fills the pools from the workers in the order of their ids: for each kind, the labels in their
// order take the ready workers that rank highest for them; those left over are unlabelled.
func (p *pools) rebuild(workers []*workerState) {
	p.members = make([][][]*workerState, len(p.shares))
	for kind := range p.ready {
		free := slices.DeleteFunc(slices.Clone(workers), func(worker *workerState) bool {
			return worker.Kind != kind || worker.State != Ready
		})
		p.ready[kind] = float64(len(free))
		for step := range p.shares {
			label := (step + 1) % len(p.shares) // unlabelled comes last
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

// size is how many of the free workers of a kind a label takes: its share of the kind, but never
// the last one.
func (p *pools) size(label, kind, free int) int {
	fair := int(math.Round(p.ready[kind] * min(maxLabelShare, p.shares[label])))
	return max(min(fair, free-1), 0)
}

// sortByRank orders workers by their rank for a label, highest first.
func sortByRank(workers []*workerState, label int) {
	slices.SortStableFunc(workers, func(a, b *workerState) int {
		return cmp.Compare(hash(uint64(b.Worker), uint64(label)), hash(uint64(a.Worker), uint64(label)))
	})
}

// sortLocalFirst puts the workers of the own zone first, where these are a group by themselves.
func (p *pools) sortLocalFirst(workers []*workerState) {
	slices.SortStableFunc(workers, func(a, b *workerState) int {
		return p.locality.group(b) - p.locality.group(a)
	})
}

// nth is a tenant's own pool, by kind, for 0, and the pools after it in the order of labels.
func (p *pools) nth(tenant, n int) [][]*workerState {
	return p.members[(p.labelOfTenant[tenant]+n)%len(p.members)]
}
