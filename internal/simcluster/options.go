package simcluster

import "time"

// Options describe a cluster. New replaces zero fields with defaults.
type Options struct {
	Fronts     int
	CoreFronts int // number of fronts that have a disk and are members of the control group
	Stores     int
	Zones      int
	Tolerated  int // machines that may be lost at once; each message has one more replica than this
	Seed       uint64
	Rate       float64 // messages per second
	Services   []Service
	Routes     []Route
	Verbose    bool // write the log lines of the processes to the test log
}

func (o Options) withDefaults() Options {
	setDefault(&o.Fronts, 4)
	setDefault(&o.CoreFronts, min(o.Fronts, 4))
	setDefault(&o.Stores, 4)
	setDefault(&o.Zones, 3)
	setDefault(&o.Tolerated, 1)
	setDefault(&o.Seed, 1)
	setDefault(&o.Rate, 20)
	if o.Services == nil {
		o.Services = DefaultServices()
	}
	if o.Routes == nil {
		o.Routes = DefaultRoutes()
	}
	return o
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}

// MovingServices are the services that the route "moving" points to in turn, in successive versions of the
// configuration.
var MovingServices = []string{"moving-0", "moving-1", "moving-2"}

// DefaultServices returns the services of a cluster whose Options name none.
func DefaultServices() []Service {
	services := []Service{
		{Name: "plain", Workers: 3, Capacity: 8, Work: 30 * time.Millisecond, FailureShare: 0.03},
		{Name: "orders", Workers: 2, Capacity: 8, Work: 120 * time.Millisecond, FailureShare: 0.03},
		{Name: "slow", Workers: 3, Capacity: 16, Work: 600 * time.Millisecond, FailureShare: 0.03},
		{Name: "ledger", Workers: 2, Capacity: 8, Work: 25 * time.Millisecond, Deduplicates: true},
		{Name: "limited", Workers: 2, Capacity: 8, Work: 20 * time.Millisecond, RatePerSecond: 6},
		{Name: "endpoint", Workers: 1, Capacity: 8, Work: 20 * time.Millisecond, Static: true},
	}
	for _, name := range MovingServices {
		services = append(services, Service{Name: name, Workers: 1, Capacity: 8, Work: 20 * time.Millisecond})
	}
	return services
}

// DefaultRoutes returns the routes of a cluster whose Options name none.
func DefaultRoutes() []Route {
	base := Route{MaxAttempts: 6, Timeout: time.Second, Retention: 90 * time.Second, Weight: 2}
	newRoute := func(name, service string, change func(*Route)) Route {
		route := base
		route.Name, route.Service = name, service
		if change != nil {
			change(&route)
		}
		return route
	}
	return []Route{
		newRoute("plain", "plain", func(r *Route) { r.Weight = 5 }),
		newRoute("orders", "orders", func(r *Route) { r.Ordered, r.Keys, r.Weight = true, 4, 5 }),
		newRoute("ledger", "ledger", nil),
		newRoute("delayed", "plain", func(r *Route) { r.Delay = 2 * time.Second }),
		newRoute("slow", "slow", func(r *Route) { r.Timeout = 2 * time.Second }),
		newRoute("limited", "limited", func(r *Route) { r.Weight = 5 }),
		newRoute("endpoint", "endpoint", nil),
		newRoute("moving", MovingServices[0], nil),
	}
}
