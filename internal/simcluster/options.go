package simcluster

import "time"

// Options describe a cluster. Fields that are zero take defaults.
type Options struct {
	Fronts     int
	CoreFronts int // how many of the fronts have a disk and are members of the control group
	Stores     int
	Zones      int
	Tolerated  int // machines that may be lost at once; a message has one replica more
	Seed       uint64
	Rate       float64 // messages a second
	Services   []Service
	Routes     []Route
	Verbose    bool // log what the processes log
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

// MovingServices are the services to which the route "moving" goes in turn, version by version.
var MovingServices = []string{"moving-0", "moving-1", "moving-2"}

// DefaultServices are the services of a cluster that names none.
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

// DefaultRoutes are the routes of a cluster that names none.
func DefaultRoutes() []Route {
	route := Route{MaxAttempts: 6, Timeout: time.Second, Retention: 90 * time.Second, Weight: 2}
	named := func(name, service string, change func(*Route)) Route {
		made := route
		made.Name, made.Service = name, service
		if change != nil {
			change(&made)
		}
		return made
	}
	return []Route{
		named("plain", "plain", func(r *Route) { r.Weight = 5 }),
		named("orders", "orders", func(r *Route) { r.Ordered, r.Keys, r.Weight = true, 4, 5 }),
		named("ledger", "ledger", nil),
		named("delayed", "plain", func(r *Route) { r.Delay = 2 * time.Second }),
		named("slow", "slow", func(r *Route) { r.Timeout = 2 * time.Second }),
		named("limited", "limited", func(r *Route) { r.Weight = 5 }),
		named("endpoint", "endpoint", nil),
		named("moving", MovingServices[0], nil),
	}
}
