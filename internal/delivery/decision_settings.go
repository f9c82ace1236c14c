package delivery

import (
	"time"

	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

const (
	tenantCount      = 8 // route names are hashed to so many tenants of the decision module
	maxSendsPerJob   = 6
	moduleTick       = 50 * time.Millisecond
	timeoutsPerJob   = 2 // a job's deadline, in latency targets of its route
	minLatencyTarget = 100 * time.Millisecond
	ownZone          = 0
	workerKinds      = 1
)

// moduleSettings are the decision module's settings for a service's routes.
func moduleSettings(routes []*configuration.Route) decision.Settings {
	settings := decision.Settings{
		Dispatchers: 1,
		Zone:        ownZone,
		Kinds:       workerKinds,
		Tenants:     make([]decision.TenantSettings, tenantCount),
		Discovery:   decision.DiscoveryPush,
		ConnIdle:    maxIdleTimeout,
		MaxAttempts: maxSendsPerJob,
		Report:      decision.LoadReportLayout{FreeSlots: -1, FreeMemory: -1, Queue: -1, InFlight: -1, Util: -1, Errors: -1},
		Tick:        moduleTick,
	}
	for _, route := range routes {
		settings.Classes = append(settings.Classes, classSettings(route))
		settings.Tenants[tenantOf(route.Name)].Share += 1 / float64(len(routes))
	}
	for _, allZones := range settings.Classes[:len(routes)] {
		ownZoneOnly := allZones
		ownZoneOnly.AllowedZones = []int{ownZone}
		settings.Classes = append(settings.Classes, ownZoneOnly)
	}
	return settings
}

// classSettings describes a route's messages.
func classSettings(route *configuration.Route) decision.ClassSettings {
	return decision.ClassSettings{
		LatencyTarget: latencyTarget(route),
		Deadline:      jobTimeout(route),
		Idempotency:   decision.Idempotent,
		Value:         1,
		WorkerKind:    -1,
		Priority:      route.Priority,
	}
}

// latencyTarget is how long an attempt of a route's messages may take. By it the module also judges that a worker does not
// answer, so it is no shorter than the route's timeout.
func latencyTarget(route *configuration.Route) time.Duration {
	return max(route.StartTarget, route.Timeout, minLatencyTarget)
}

// jobTimeout is how long the module may keep a job of a route.
func jobTimeout(route *configuration.Route) time.Duration {
	return timeoutsPerJob * latencyTarget(route)
}

// tenantOf hashes a route's name to a tenant, alike at all stores.
func tenantOf(route string) int { return int(stableHash(route) % tenantCount) }
