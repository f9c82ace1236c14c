package decision

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// rateMemory is the time constant with which the counts of arrivals, answers and errors decay.
const rateMemory = 10 * time.Second

// quotaTolerance is the multiple of its due that a tenant may send.
const quotaTolerance = 1.3

// deviations is the number of standard deviations of a Poisson count that are attributed to chance.
const deviations = 3.5

// minTenantsCompared is the least number of tenants with a known rate from which the median is computed.
const minTenantsCompared = 3

// tenantQuota detects jobs that exceed their tenant's share. It keeps decaying counts of each tenant's
// arrivals and answers. Every tenant is due what the median tenant is served, relative to its stated rate.
// Retries by a tenant's clients therefore raise its arrivals but not its due.
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

// fade updates the decaying counts to the time now, and returns the factor since the last arrival.
func (q *tenantQuota) fade(now time.Duration) (part float64) {
	part = decay(now-q.lastArrivalAt, rateMemory)
	for tenant := range q.tenants {
		q.arrivals[tenant] *= part
		q.answers[tenant] *= part
	}
	q.lastArrivalAt = now
	return part
}

// observeAnswer counts an answer to a job of a tenant.
func (q *tenantQuota) observeAnswer(tenant int) { q.answers[tenant]++ }

// observeArrival counts a job and reports whether it exceeds its tenant's share. If a tenant sends more than
// chance explains, a random selection of its jobs, as large as the surplus, counts as exceeding the share.
func (q *tenantQuota) observeArrival(tenant int) (overQuota bool) {
	q.arrivals[tenant]++
	served, known := q.medianServedPart()
	if !known {
		return false
	}
	due := quotaTolerance * served * q.tenants[tenant].RatePerSecond
	asked := q.arrivals[tenant]
	return asked > due+deviations*math.Sqrt(due+1) && q.random.Float64()*asked > due
}

// medianServedPart returns the answers to the median tenant, divided by its stated rate.
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
