package simcluster

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// Service describes a service and its simulated workers.
type Service struct {
	Name          string
	Workers       int // 1 if the service is static
	Capacity      int
	Work          time.Duration // average time that a worker takes for a message
	FailureShare  float64       // share of the deliveries that workers answer with 500
	RatePerSecond float64       // 0 for no rate limit
	Deduplicates  bool
	Static        bool // one endpoint that is not in the platform's list
}

// Route describes a route and the load on it.
type Route struct {
	Name        string
	Service     string
	Ordered     bool
	MaxAttempts int
	Timeout     time.Duration
	Retention   time.Duration
	Weight      int           // share of the load, relative to the other routes
	Keys        int           // number of order keys in use
	Delay       time.Duration // longest delay that a message asks for
}

// prefix returns the path prefix of the route.
func (r *Route) prefix() string { return "/" + r.Name + "/" }

const (
	routeHost            = "shop.example"
	workerMaxConnections = 130 // connections that a worker accepts
	routeType            = "async"
	targetLatencyMS      = 80
	targetStartMS        = 600
	maxBodyBytes         = 1 << 18
	maxHeaderBytes       = 1 << 14
	headerTimeoutMS      = 3000
	idleTimeoutMS        = 15000
	healthCheckPath      = "/health"
	configurationPath    = "/api/config/"
)

// Configuration is the configuration of the system as operators send and read it.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
}

// Route returns the route with a name, or nil.
func (c *Configuration) Route(name string) *Route {
	for i := range c.Routes {
		if c.Routes[i].Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// clone returns a copy that shares no slices with the configuration.
func (c *Configuration) clone() Configuration {
	copied := *c
	copied.Routes = append([]Route(nil), c.Routes...)
	copied.Services = append([]Service(nil), c.Services...)
	return copied
}

type routeDocument struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path-prefix"`
	RouteType       string  `json:"route-type"`
	TimeoutMS       int64   `json:"timeout-ms"`
	TargetLatencyMS int64   `json:"target-latency-ms"`
	TargetStartMS   int64   `json:"target-start-ms"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max-attempts"`
	Ordered         bool    `json:"ordered"`
	RetentionS      float64 `json:"retention-s"`
	CallbackURL     bool    `json:"callback-url"`
}

type serviceDocument struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"health-check"`
	MaxConnections int     `json:"max-connections"`
	Protocol       string  `json:"protocol"`
	RatePerSecond  float64 `json:"rate-per-s"`
	Deduplicates   bool    `json:"dedup"`
	StaticEndpoint *string `json:"static-endpoint"`
}

type limitsDocument struct {
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxBodyBytes    int `json:"max-body-bytes"`
	HeaderTimeoutMS int `json:"header-timeout-ms"`
	IdleTimeoutMS   int `json:"idle-timeout-ms"`
}

type configurationDocument struct {
	Version  uint64            `json:"version"`
	Routes   []routeDocument   `json:"routes"`
	Services []serviceDocument `json:"services"`
	Limits   limitsDocument    `json:"limits"`
}

type removalDocument struct {
	Routes []string `json:"routes,omitempty"`
}

type upsertDocument struct {
	Routes []routeDocument `json:"routes,omitempty"`
}

type updateDocument struct {
	Version uint64          `json:"version"`
	Upsert  upsertDocument  `json:"upsert"`
	Remove  removalDocument `json:"remove"`
}

func (r *Route) document() routeDocument {
	return routeDocument{
		Name: r.Name, Host: routeHost, PathPrefix: r.prefix(), RouteType: routeType,
		TimeoutMS: r.Timeout.Milliseconds(), TargetLatencyMS: targetLatencyMS, TargetStartMS: targetStartMS,
		Service: r.Service, MaxAttempts: r.MaxAttempts, Ordered: r.Ordered, RetentionS: r.Retention.Seconds(),
	}
}

func (s *Service) document() serviceDocument {
	document := serviceDocument{
		Name: s.Name, HealthCheck: healthCheckPath, MaxConnections: workerMaxConnections, Protocol: "h1",
		RatePerSecond: s.RatePerSecond, Deduplicates: s.Deduplicates,
	}
	if s.Static {
		address := endpointAddress(s.Name)
		document.StaticEndpoint = &address
	}
	return document
}

// replacement returns the request body that replaces the complete configuration.
func (c *Configuration) replacement() []byte {
	document := configurationDocument{
		Version: c.Version,
		Limits: limitsDocument{
			MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes,
			HeaderTimeoutMS: headerTimeoutMS, IdleTimeoutMS: idleTimeoutMS,
		},
	}
	for i := range c.Routes {
		document.Routes = append(document.Routes, c.Routes[i].document())
	}
	for i := range c.Services {
		document.Services = append(document.Services, c.Services[i].document())
	}
	return mustMarshal(document)
}

// update returns the request body that turns a base configuration into this one. It upserts the routes that differ and
// removes those that only the base has.
func (c *Configuration) update(base *Configuration) []byte {
	document := updateDocument{Version: c.Version}
	for i := range c.Routes {
		if old := base.Route(c.Routes[i].Name); old == nil || *old != c.Routes[i] {
			document.Upsert.Routes = append(document.Upsert.Routes, c.Routes[i].document())
		}
	}
	for i := range base.Routes {
		if c.Route(base.Routes[i].Name) == nil {
			document.Remove.Routes = append(document.Remove.Routes, base.Routes[i].Name)
		}
	}
	return mustMarshal(document)
}

// parseConfiguration parses a configuration that the system returned. It reads no services.
func parseConfiguration(text []byte) (Configuration, error) {
	var document configurationDocument
	if err := json.Unmarshal(text, &document); err != nil {
		return Configuration{}, err
	}
	read := Configuration{Version: document.Version}
	for _, route := range document.Routes {
		read.Routes = append(read.Routes, Route{
			Name: route.Name, Service: route.Service, Ordered: route.Ordered, MaxAttempts: route.MaxAttempts,
			Timeout:   time.Duration(route.TimeoutMS) * time.Millisecond,
			Retention: time.Duration(route.RetentionS * float64(time.Second)),
		})
	}
	return read, nil
}

// routesText returns a text that is equal for equal routes, regardless of the load on them.
func (c *Configuration) routesText() string {
	var text strings.Builder
	for _, route := range c.Routes {
		fmt.Fprintf(&text, "%s>%s %v %d %v %v;", route.Name, route.Service, route.Ordered, route.MaxAttempts,
			route.Timeout, route.Retention)
	}
	return text.String()
}

// sameAs reports whether two configurations have the same version and the same routes.
func (c *Configuration) sameAs(other *Configuration) bool {
	return c.Version == other.Version && c.routesText() == other.routesText()
}

func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types above can always be encoded
	}
	return text
}
