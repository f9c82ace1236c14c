package soak

import (
	"net/http"

	"gladepick/internal/standin"
)

// RouteName names one of the routes of a deployment.
type RouteName string

// The routes. Each has a service of its own name.
const (
	Plain   RouteName = "plain"
	Ordered RouteName = "ordered" // messages with an order key run in their order
	Slow    RouteName = "slow"    // few slots, and runs of some tenths of a second
	Fixed   RouteName = "fixed"   // a static endpoint
	added   RouteName = "added"   // only in force for some time; RouteAdded
)

func (r RouteName) known() bool {
	switch r {
	case Plain, Ordered, Slow, Fixed:
		return true
	}
	return false
}

const (
	routeHost      = "lode17.example"
	statusAccepted = http.StatusAccepted
	routeTimeoutMS = 1500
	maxAttempts    = 3
	retentionS     = 240
	maxConnections = 110
)

// configurationState is what the operator can change in a play.
type configurationState struct {
	version       uint64
	plainPerS     float64 // rate limit of the plain service; 0 for none
	hasAddedRoute bool
	fixedAddress  string
}

// document returns the configuration.
func (s *configurationState) document() standin.Configuration {
	built := standin.Configuration{
		Version: s.version,
		Limits: standin.Limits{
			MaxHeaderBytes: 16 << 10, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000,
		},
	}
	names := []RouteName{Plain, Ordered, Slow, Fixed}
	for _, name := range names {
		built.Services = append(built.Services, s.service(name))
		built.Routes = append(built.Routes, newRoute(name, name))
	}
	if s.hasAddedRoute {
		built.Routes = append(built.Routes, newRoute(added, Plain))
	}
	return built
}

func (s *configurationState) service(name RouteName) standin.Service {
	built := standin.Service{Name: string(name), HealthCheck: healthPath, MaxConnections: maxConnections, Protocol: "h1"}
	switch name {
	case Plain:
		built.RatePerS = s.plainPerS
	case Fixed:
		built.StaticEndpoint = &s.fixedAddress
	}
	return built
}

func newRoute(name, service RouteName) standin.Route {
	return standin.Route{
		Name: string(name), Host: routeHost, PathPrefix: pathPrefix(name), RouteType: "async", TimeoutMS: routeTimeoutMS,
		TargetLatencyMS: 80, Priority: 2, Service: string(service), MaxAttempts: maxAttempts, Ordered: name == Ordered,
		RetentionS: retentionS, TargetStartMS: 500,
	}
}

// pathPrefix returns the prefix of the paths of a route.
func pathPrefix(name RouteName) string { return "/" + string(name) + "/" }
