package delivery

import (
	"time"

	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

const (
	tenantCount      = 8 // tenants of the decision module; route names are hashed to them
	maxSendsPerJob   = 6
	moduleTick       = 50 * time.Millisecond
	timeoutsPerJob   = 2 // the deadline of a job, in latency targets of its route
	minLatencyTarget = 100 * time.Millisecond
	ownZone          = 0
	workerKinds      = 1
)

// moduleSettings returns the decision module's settings for the routes of a service.
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

// classSettings returns the settings of the decision module's class for a route.
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

// latencyTarget returns how long an attempt at a message of a route may take. The module also uses it to detect that a
// worker does not respond, so it is not shorter than the route's time-out.
func latencyTarget(route *configuration.Route) time.Duration {
	return max(route.StartTarget, route.Timeout, minLatencyTarget)
}

// jobTimeout returns how long the module may hold a job of a route.
func jobTimeout(route *configuration.Route) time.Duration {
	return timeoutsPerJob * latencyTarget(route)
}

// tenantOf returns the tenant to which the name of a route is hashed. All stores hash a name to the same tenant.
func tenantOf(route string) int { return int(stableHash(route) % tenantCount) }
