// Package standin has the JSON that stand-ins of the platform and of the operator send to the system: the list of workers, and
// configurations. They are declared here from the public protocol, and apart from the types by which the system reads them, so
// that a change of those shows.
//
// The package has only types and no state. Start reading at InstancePage and Configuration.
package standin

// StateReady is the state of an instance that takes messages.
const StateReady = "ready"

// Instance is an entry of the platform's list of workers.
type Instance struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Address      string `json:"address"` // "ip:port"
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Capacity     int    `json:"capacity"`
	State        string `json:"state"`
	WarmupLeftMS int    `json:"warmup-left-ms"`
}

// InstancePage is a page of the platform's list of workers.
type InstancePage struct {
	Instances []Instance `json:"instances"`
	NextToken *string    `json:"next-token"` // nil on the last page
}

// Configuration is a configuration in the form that operators send.
type Configuration struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route is a route of a configuration.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path-prefix"`
	RouteType       string  `json:"route-type"`
	TimeoutMS       int     `json:"timeout-ms"`
	TargetLatencyMS int     `json:"target-latency-ms"`
	TargetStartMS   int     `json:"target-start-ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max-attempts"`
	Ordered         bool    `json:"ordered"`
	RetentionS      float64 `json:"retention-s"`
	CallbackURL     bool    `json:"callback-url"`
}

// Service is a service of a configuration.
type Service struct {
	Name           string  `json:"name"`
	HealthCheck    string  `json:"health-check"`
	MaxConnections int     `json:"max-connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	RatePerS       float64 `json:"rate-per-s"` // 0 for no limit
	Dedup          bool    `json:"dedup"`
	PullMode       bool    `json:"pull-mode"`
	StaticEndpoint *string `json:"static-endpoint"` // nil for none
}

// Limits are the limits of a configuration.
type Limits struct {
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxBodyBytes    int `json:"max-body-bytes"`
	HeaderTimeoutMS int `json:"header-timeout-ms"`
	IdleTimeoutMS   int `json:"idle-timeout-ms"`
}
