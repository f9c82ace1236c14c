package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// rateMemory is the span in which counted arrivals, answers and errors fade.
const rateMemory = 10 * time.Second

// excessFactor is how many times its due a tenant may ask for.
const excessFactor = 1.3

// deviations is how many standard deviations of a Poisson count are taken for chance.
const deviations = 3.5

// minTenantsCompared is the least number of tenants with a known rate whose median tells what is due.
const minTenantsCompared = 3

// tenantQuota finds the jobs that are beyond their tenant's share. It observes each tenant's arrivals and
// answers, fading. What the median tenant is served, for its stated rate, stands for what every tenant is
// due: retries of a tenant's clients raise its arrivals but not what is due.
type tenantQuota struct {
	tenants []TenantSettings
	random  *rand.Rand

	arrivals      []float64 // by tenant
	answers       []float64 // by tenant
	lastArrivalAt time.Duration
}

func newTenantQuota(tenants []TenantSettings, random *rand.Rand) *tenantQuota {
	return &tenantQuota{
		tenants:  tenants,
		random:   random,
		arrivals: make([]float64, len(tenants)),
		answers:  make([]float64, len(tenants)),
	}
}

// fade brings the counts up to date, and returns the part of them that is left since the last arrival.
func (q *tenantQuota) fade(now time.Duration) (part float64) {
	part = decay(now-q.lastArrivalAt, rateMemory)
	for tenant := range q.tenants {
		q.arrivals[tenant] *= part
		q.answers[tenant] *= part
	}
	q.lastArrivalAt = now
	return part
}

// observeAnswer counts an answer to a tenant.
func (q *tenantQuota) observeAnswer(tenant int) { q.answers[tenant]++ }

// observeArrival counts a job, and tells whether it is beyond its tenant's share. Once a tenant asks for
// more than chance explains, that holds for the part of its jobs that is too much, by chance.
func (q *tenantQuota) observeArrival(tenant int) (overQuota bool) {
	q.arrivals[tenant]++
	served, known := q.medianServedPart()
	if !known {
		return false
	}
	due := excessFactor * served * q.tenants[tenant].RatePerSecond
	asked := q.arrivals[tenant]
	return asked > due+deviations*math.Sqrt(due+1) && q.random.Float64()*asked > due
}

// medianServedPart is the answers to the median tenant for its stated rate.
func (q *tenantQuota) medianServedPart() (served float64, known bool) {
	parts := make([]float64, 0, len(q.tenants))
	for i, tenant := range q.tenants {
		if tenant.RatePerSecond > 0 {
			parts = append(parts, q.answers[i]/tenant.RatePerSecond)
		}
	}
	slices.Sort(parts)
	if len(parts) < minTenantsCompared {
		return 0, false
	}
	served = parts[len(parts)/2]
	return served, served != 0
}
