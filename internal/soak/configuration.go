package soak

import "net/http"

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

// route is a route of a configuration.
type route struct {
	Name            RouteName `json:"name"`
	Host            string    `json:"host"`
	PathPrefix      string    `json:"path-prefix"`
	RouteType       string    `json:"route-type"`
	TimeoutMS       int       `json:"timeout-ms"`
	TargetLatencyMS int       `json:"target-latency-ms"`
	Priority        int       `json:"priority"`
	Service         RouteName `json:"service"`
	MaxAttempts     int       `json:"max-attempts"`
	Ordered         bool      `json:"ordered"`
	RetentionS      int       `json:"retention-s"`
	CallbackURL     bool      `json:"callback-url"`
	TargetStartMS   int       `json:"target-start-ms"`
}

// service is a service of a configuration.
type service struct {
	Name           RouteName `json:"name"`
	HealthCheck    string    `json:"health-check"`
	MaxConnections int       `json:"max-connections"`
	Protocol       string    `json:"protocol"`
	TLS            bool      `json:"tls"`
	RatePerS       float64   `json:"rate-per-s"`
	Dedup          bool      `json:"dedup"`
	PullMode       bool      `json:"pull-mode"`
	StaticEndpoint *string   `json:"static-endpoint"`
}

// limits are the limits of a configuration.
type limits struct {
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxBodyBytes    int `json:"max-body-bytes"`
	HeaderTimeoutMS int `json:"header-timeout-ms"`
	IdleTimeoutMS   int `json:"idle-timeout-ms"`
}

// document is a configuration as the operator sends it.
type document struct {
	Version  uint64    `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

// configurationState is what the operator can change in a play.
type configurationState struct {
	version       uint64
	plainPerS     float64 // rate limit of the plain service; 0 for none
	hasAddedRoute bool
	fixedAddress  string
}

// document returns the configuration.
func (s *configurationState) document() document {
	built := document{
		Version: s.version,
		Limits: limits{
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

func (s *configurationState) service(name RouteName) service {
	built := service{Name: name, HealthCheck: healthPath, MaxConnections: maxConnections, Protocol: "h1"}
	switch name {
	case Plain:
		built.RatePerS = s.plainPerS
	case Fixed:
		built.StaticEndpoint = &s.fixedAddress
	}
	return built
}

func newRoute(name, service RouteName) route {
	return route{
		Name: name, Host: routeHost, PathPrefix: pathPrefix(name), RouteType: "async", TimeoutMS: routeTimeoutMS,
		TargetLatencyMS: 80, Priority: 2, Service: service, MaxAttempts: maxAttempts, Ordered: name == Ordered,
		RetentionS: retentionS, TargetStartMS: 500,
	}
}

// pathPrefix returns the prefix of the paths of a route.
func pathPrefix(name RouteName) string { return "/" + string(name) + "/" }
