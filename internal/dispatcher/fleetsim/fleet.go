// Package fleetsim simulates days of a fleet in virtual time. Each dispatcher runs an instance of the real decision
// module, which gets the events that the dispatcher's core would send; workers, network, discovery and clients are
// models. The same descriptions and seed give the same result to the last bit, so the package does no I/O, reads no
// clock, and runs on its caller's goroutine alone. Each concern draws random numbers from a stream of its own, so that
// one concern's draws do not affect the others.
//
// Start reading at Fleet and Load, which describe a day, and at Simulate, which simulates it. Accounting counts the
// requests of a day that runs elsewhere, by the same rules.
package fleetsim

import (
	"encoding/json"
	"math"
	"slices"
)

// Range is a minimum and a maximum. In JSON it is an array of two numbers, or one number that is both.
type Range [2]float64

// UnmarshalJSON reads either form.
func (r *Range) UnmarshalJSON(text []byte) error {
	var single float64
	if json.Unmarshal(text, &single) == nil {
		*r = Range{single, single}
		return nil
	}
	return json.Unmarshal(text, (*[2]float64)(r))
}

// Kind is a kind of worker. Simulated workers run their jobs by processor sharing.
type Kind struct {
	Name             string  `json:"name"`
	Cores            float64 `json:"cores"`
	Speed            Range   `json:"speed"`         // of a core, relative to the one of ClassLoad.WorkMs; drawn for each worker
	Slots            int     `json:"slots"`         // jobs that run at a time
	Queue            int     `json:"queue"`         // greatest number of waiting jobs; further jobs are rejected
	SlowStartShare   float64 `json:"cold_share"`    // share of its full speed right after a start
	SlowStartSeconds float64 `json:"warm_s"`        // time from a start until it has its full speed
	ConnectionMs     float64 `json:"connection_ms"` // work that a new connection costs the worker
	Connections      int     `json:"connections"`   // greatest number open at a time
	Cost             float64 `json:"cost"`          // of one machine, in any unit
}

// WorkerGroup is a number of workers of a kind in a zone.
type WorkerGroup struct {
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	Spare bool   `json:"spare"` // switched on only in addition to the usual ones
}

// DispatcherGroup is a number of dispatchers in a zone.
type DispatcherGroup struct {
	Zone        string  `json:"zone"`
	Count       int     `json:"count"`
	Share       float64 `json:"share"` // weight of each one's traffic, relative to the other dispatchers
	OpenJobs    int     `json:"open_jobs"`
	Connections int     `json:"worker_connections"`
}

// Class is a priority class, as in the settings. A job is in time if it takes at most LatencyTargetSeconds plus Stretch
// times its work in seconds.
type Class struct {
	Name                 string  `json:"name"`
	Idempotency          string  `json:"effect"` // safe, keyed or unsafe
	DedupWindowSeconds   float64 `json:"window_s"`
	LatencyTargetSeconds float64 `json:"aim_s"`
	Stretch              float64 `json:"stretch"`
	DeadlineSeconds      float64 `json:"deadline_s"`
	Value                float64 `json:"worth"`
	LateValue            float64 `json:"late_worth"`
}

// Tenant is a customer with a quota share.
type Tenant struct {
	Name          string  `json:"name"`
	Share         float64 `json:"share"`
	RatePerSecond float64 `json:"allowance_per_s"` // a job above this rate earns OverQuotaValue times its usual value
}

// SlowStart is the settings' rule for workers that have just started. A starting worker that gets more than
// OverloadMultiple times the work that it can do within OverloadSpanSeconds is overloaded and stops for good.
type SlowStart struct {
	Share               float64 `json:"share"`
	DurationSeconds     float64 `json:"warm_s"`
	OverloadMultiple    float64 `json:"multiple"`
	OverloadSpanSeconds float64 `json:"span_s"`
}

// Fault types.
const (
	faultZoneLost    = "zone_lost"    // all workers of a zone stop without closing their connections
	faultDeaths      = "deaths"       // some workers stop and close their connections
	faultDrain       = "drain"        // some workers drain, and restart at the end of the fault
	faultShared      = "shared"       // other programs use a part of some machines, on and off
	faultReportsLate = "reports_late" // load reports are delayed further
)

var faultTypes = []string{faultZoneLost, faultDeaths, faultDrain, faultShared, faultReportsLate}

// Fault is a fault injected into a day.
type Fault struct {
	Type            string  `json:"what"` // one of the fault types
	Zone            string  `json:"zone"`
	Kind            string  `json:"kind"`
	Fraction        float64 `json:"part"` // of the workers that Zone and Kind select
	StartSeconds    float64 `json:"at_s"`
	DurationSeconds float64 `json:"for_s"`
	Amount          float64 `json:"takes"` // shared: the part of the machine in use by others; reports_late: seconds
	OnSeconds       float64 `json:"on_s"`  // shared: the length of each period of use by others
	OffSeconds      float64 `json:"off_s"` // shared: the pause between two such periods
}

// Fleet describes dispatchers, workers and the network between them. Zero values stand for the defaults of
// WithDefaults.
type Fleet struct {
	Zones                    []string          `json:"zones"`
	SameZoneMs               float64           `json:"same_zone_ms"`
	CrossZoneMs              float64           `json:"cross_zone_ms"`
	Jitter                   float64           `json:"jitter"`
	Kinds                    []Kind            `json:"kinds"`
	Workers                  []WorkerGroup     `json:"workers"`
	Dispatchers              []DispatcherGroup `json:"dispatchers"`
	Classes                  []Class           `json:"classes"`
	Tenants                  []Tenant          `json:"universities"`
	DiscoveryDelaySeconds    Range             `json:"roster_delay_s"` // until discovery reports a change of a worker's state
	UnresponsiveDelaySeconds Range             `json:"silent_delay_s"` // until it reports a worker that stopped without closing its connections
	ReportIntervalSeconds    Range             `json:"report_every_s"` // between a worker's load reports; drawn for each worker
	ReportDelaySeconds       Range             `json:"report_delay_s"` // from a load report to its arrival; drawn for each worker
	ConnectionIdleSeconds    float64           `json:"conn_idle_s"`    // time after which a worker closes an idle connection
	ConnectTimeoutMs         float64           `json:"connect_timeout_ms"`
	ConnectionRoundTrips     float64           `json:"connection_trips"` // round trips that a new connection takes
	MaxAttempts              int               `json:"attempts"`
	DrainGraceSeconds        float64           `json:"drain_grace_s"`
	SlowStart                SlowStart         `json:"cold"`
	OverQuotaValue           float64           `json:"over_worth"`
	RetryAfterMs             float64           `json:"retry_after_ms"`
	Faults                   []Fault           `json:"troubles"`
}

// fill sets the defaults of values that a description leaves out. They are those of a small site. Values on which a
// score depends strongly (kinds, counts, rates, times) have no default.
func (f *Fleet) fill() {
	setDefault := func(value *float64, defaultValue float64) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefaultRange := func(r *Range, minimum, maximum float64) {
		if *r == (Range{}) {
			*r = Range{minimum, maximum}
		}
	}
	setDefault(&f.SameZoneMs, 0.2)
	setDefault(&f.CrossZoneMs, 15)
	setDefault(&f.ConnectionIdleSeconds, 5)
	setDefault(&f.ConnectTimeoutMs, 250)
	setDefault(&f.ConnectionRoundTrips, 1)
	setDefault(&f.DrainGraceSeconds, 0.5)
	setDefault(&f.OverQuotaValue, 0.1)
	setDefault(&f.RetryAfterMs, 50)
	setDefault(&f.SlowStart.Share, 0.3)
	setDefault(&f.SlowStart.DurationSeconds, 8.9)
	setDefault(&f.SlowStart.OverloadMultiple, 3)
	setDefault(&f.SlowStart.OverloadSpanSeconds, 1)
	setDefaultRange(&f.DiscoveryDelaySeconds, 0.8, 4)
	setDefaultRange(&f.UnresponsiveDelaySeconds, 4, 11)
	setDefaultRange(&f.ReportIntervalSeconds, 0.33, 1.3)
	setDefaultRange(&f.ReportDelaySeconds, 0.05, 0.28)
	if f.MaxAttempts == 0 {
		f.MaxAttempts = 3
	}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		setDefault(&k.SlowStartShare, 0.45)
		setDefault(&k.SlowStartSeconds, 6)
		setDefault(&k.Cost, 1)
		if k.Slots == 0 {
			k.Slots = max(int(math.Round(k.Cores)), 1)
		}
		if k.Queue == 0 {
			k.Queue = 12 * k.Slots
		}
		if k.Connections == 0 {
			k.Connections = 2000
		}
	}
	for i := range f.Dispatchers {
		d := &f.Dispatchers[i]
		setDefault(&d.Share, 1)
		if d.OpenJobs == 0 {
			d.OpenJobs = 500
		}
		if d.Connections == 0 {
			d.Connections = 400
		}
	}
}

// WithDefaults returns a copy in which values that the description leaves out have their defaults.
func (f *Fleet) WithDefaults() *Fleet {
	out := *f
	out.Kinds, out.Dispatchers = slices.Clone(f.Kinds), slices.Clone(f.Dispatchers)
	out.fill()
	return &out
}
