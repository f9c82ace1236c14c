// Package fleetsim plays days of a fleet in virtual time, round the real decision
// module: one instance a dispatcher, told what the core would tell it, and
// workers, networks, rosters and clients that are models. This file holds the
// descriptions of a fleet and of a load, with their defaults and checks. The
// package must never do I/O, read a clock or start a goroutine; the same day
// and seed give the same result to the last bit.
package fleetsim

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"gladepick/internal/decision"
)

// Range is a least and a most figure, in JSON two numbers or one that is both.
type Range [2]float64

// UnmarshalJSON reads either form.
func (r *Range) UnmarshalJSON(text []byte) error {
	var one float64
	if json.Unmarshal(text, &one) == nil {
		*r = Range{one, one}
		return nil
	}
	return json.Unmarshal(text, (*[2]float64)(r))
}

// Kind is a kind of machine.
type Kind struct {
	Name             string  `json:"name"`
	Cores            float64 `json:"cores"`
	Speed            Range   `json:"speed"` // a core's, 1 being the yardstick of Work; drawn for each machine
	Slots            int     `json:"slots"` // jobs at work at a time
	Queue            int     `json:"queue"` // slots that wait at most; beyond it a job is turned away
	SlowStartShare   float64 `json:"cold_share"`
	SlowStartSeconds float64 `json:"warm_s"`
	ConnectionMs     float64 `json:"connection_ms"` // work that a new connection costs the worker
	Connections      int     `json:"connections"`   // open ones at most
	Cost             float64 `json:"cost"`          // of one machine, in any unit
}

// WorkerGroup is machines of a kind in a zone.
type WorkerGroup struct {
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	Spare bool   `json:"spare"` // switched on beyond the usual ones
}

// DispatcherGroup is dispatchers in a zone.
type DispatcherGroup struct {
	Zone        string  `json:"zone"`
	Count       int     `json:"count"`
	Share       float64 `json:"share"` // of the traffic that each gets, against the others
	OpenJobs    int     `json:"open_jobs"`
	Connections int     `json:"worker_connections"`
}

// Class is a class of job as the settings have it.
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
	RatePerSecond float64 `json:"allowance_per_s"` // beyond it a job is worth OverWorth of the usual
}

// SlowStart is the rule for workers that have just started.
type SlowStart struct {
	Share               float64 `json:"share"`
	DurationSeconds     float64 `json:"warm_s"`
	OverloadMultiple    float64 `json:"multiple"`
	OverloadSpanSeconds float64 `json:"span_s"`
}

// Fault is something that goes wrong on a day.
type Fault struct {
	Type            string  `json:"what"` // zone_lost, deaths, drain, shared, reports_late
	Zone            string  `json:"zone"`
	Kind            string  `json:"kind"`
	Fraction        float64 `json:"part"` // of the workers that Zone and Kind leave
	StartSeconds    float64 `json:"at_s"`
	DurationSeconds float64 `json:"for_s"`
	Amount          float64 `json:"takes"` // shared: of the machine; reports_late: seconds more
	OnSeconds       float64 `json:"on_s"`  // shared: seconds on, and
	OffSeconds      float64 `json:"off_s"` // off, in turn
}

// Fleet describes what balances and what is balanced.
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
	DiscoveryDelaySeconds    Range             `json:"roster_delay_s"` // until a change of a worker that closes its connections is told
	UnresponsiveDelaySeconds Range             `json:"silent_delay_s"` // and of one that says nothing
	ReportIntervalSeconds    Range             `json:"report_every_s"` // between a worker's reports, drawn for each
	ReportDelaySeconds       Range             `json:"report_delay_s"` // their age beyond that
	ConnectionIdleSeconds    float64           `json:"conn_idle_s"`    // idle connections are closed after it
	ConnectTimeoutMs         float64           `json:"connect_timeout_ms"`
	ConnectionRoundTrips     float64           `json:"connection_trips"` // round trips that a new connection takes
	MaxAttempts              int               `json:"attempts"`
	DrainGraceSeconds        float64           `json:"drain_grace_s"`
	SlowStart                SlowStart         `json:"cold"`
	OverQuotaValue           float64           `json:"over_worth"`
	RetryAfterMs             float64           `json:"retry_after_ms"`
	Faults                   []Fault           `json:"troubles"`
}

// RatePoint is a rate at a moment; between two of them it changes evenly.
type RatePoint struct {
	AtSeconds float64 `json:"at_s"`
	PerSecond float64 `json:"per_s"`
}

// ClassLoad is a class's share of the jobs and their running time on a core of speed 1.
type ClassLoad struct {
	Name   string  `json:"name"`
	Share  float64 `json:"share"`
	WorkMs float64 `json:"work_ms"`
	CV     float64 `json:"cv"` // standard deviation over mean; lognormal, constant at 0
}

// TenantLoad is a university's share of the jobs.
type TenantLoad struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Burst is a university that sends more for a while.
type Burst struct {
	Tenant          string  `json:"university"`
	Factor          float64 `json:"times"`
	StartSeconds    float64 `json:"at_s"`
	DurationSeconds float64 `json:"for_s"`
}

// Retries are what clients do by themselves after a refusal or a failure.
type Retries struct {
	Max              int     `json:"most"`
	WaitMs           float64 `json:"wait_ms"`
	HonourRetryAfter bool    `json:"honours_retry_after"`
}

// Load describes what clients send on a day.
type Load struct {
	Seconds float64      `json:"seconds"`
	Factor  float64      `json:"times"` // all rates
	Rate    []RatePoint  `json:"rate"`
	Classes []ClassLoad  `json:"classes"`
	Tenants []TenantLoad `json:"universities"`
	Bursts  []Burst      `json:"bursts"`
	Retries Retries      `json:"retries"`
}

// fill puts the figures in that a description leaves out. They are those of a small site; nothing that a score
// hangs on strongly (kinds, counts, rates, times) has a default.
func (f *Fleet) fill() {
	or := func(v *float64, otherwise float64) {
		if *v == 0 {
			*v = otherwise
		}
	}
	between := func(r *Range, least, most float64) {
		if *r == (Range{}) {
			*r = Range{least, most}
		}
	}
	or(&f.SameZoneMs, 0.2)
	or(&f.CrossZoneMs, 15)
	or(&f.ConnectionIdleSeconds, 5)
	or(&f.ConnectTimeoutMs, 250)
	or(&f.ConnectionRoundTrips, 1)
	or(&f.DrainGraceSeconds, 0.5)
	or(&f.OverQuotaValue, 0.1)
	or(&f.RetryAfterMs, 50)
	or(&f.SlowStart.Share, 0.3)
	or(&f.SlowStart.DurationSeconds, 8.9)
	or(&f.SlowStart.OverloadMultiple, 3)
	or(&f.SlowStart.OverloadSpanSeconds, 1)
	between(&f.DiscoveryDelaySeconds, 0.8, 4)
	between(&f.UnresponsiveDelaySeconds, 4, 11)
	between(&f.ReportIntervalSeconds, 0.33, 1.3)
	between(&f.ReportDelaySeconds, 0.05, 0.28)
	if f.MaxAttempts == 0 {
		f.MaxAttempts = 3
	}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		or(&k.SlowStartShare, 0.45)
		or(&k.SlowStartSeconds, 6)
		or(&k.Cost, 1)
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
		or(&d.Share, 1)
		if d.OpenJobs == 0 {
			d.OpenJobs = 500
		}
		if d.Connections == 0 {
			d.Connections = 400
		}
	}
}

// WithDefaults returns a copy with the defaults put in for what a description leaves out.
func (f *Fleet) WithDefaults() *Fleet {
	out := *f
	out.Kinds, out.Dispatchers = slices.Clone(f.Kinds), slices.Clone(f.Dispatchers)
	out.fill()
	return &out
}

// names gives the places of names; a name twice, or none, is an error.
func indexNames[T any](key string, list []T, name func(*T) string) (map[string]int, error) {
	at := map[string]int{}
	for i := range list {
		n := name(&list[i])
		if _, twice := at[n]; twice || n == "" {
			return nil, fmt.Errorf("key %s.%d.name: %q is missing or double", key, i, n)
		}
		at[n] = i
	}
	if len(at) == 0 {
		return nil, fmt.Errorf("key %s: there is none", key)
	}
	return at, nil
}

// site is a fleet and a load that fit together, with names resolved to places.
type scenario struct {
	*Fleet
	load         *Load
	zoneIndex    map[string]int
	kindIndex    map[string]int
	classIndex   map[string]int
	tenantIndex  map[string]int
	classLoads   []ClassLoad // by class
	tenantShares []float64   // by university
}

// together checks a fleet and a load against each other. Its errors name the key.
func newScenario(fleet *Fleet, load *Load) (*scenario, error) {
	f, l := *fleet.WithDefaults(), *load
	s := &scenario{Fleet: &f, load: &l, zoneIndex: map[string]int{}}
	var errs [3]error
	s.kindIndex, errs[0] = indexNames("kinds", f.Kinds, func(k *Kind) string { return k.Name })
	s.classIndex, errs[1] = indexNames("classes", f.Classes, func(c *Class) string { return c.Name })
	s.tenantIndex, errs[2] = indexNames("universities", f.Tenants, func(u *Tenant) string { return u.Name })
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	for i, z := range f.Zones {
		if _, twice := s.zoneIndex[z]; twice || z == "" {
			return nil, fmt.Errorf("key zones.%d: %q is missing or double", i, z)
		}
		s.zoneIndex[z] = i
	}
	known := func(m map[string]int, name string, none bool, key string, v ...any) error {
		if _, ok := m[name]; !ok && !(none && name == "") {
			return fmt.Errorf("key %s: there is no %q", fmt.Sprintf(key, v...), name)
		}
		return nil
	}
	var err error
	check := func(e error) {
		if err == nil {
			err = e
		}
	}
	for i, k := range f.Kinds {
		if !(k.Cores > 0) || !(k.Speed[0] > 0) || k.Speed[1] < k.Speed[0] || k.Slots < 1 || k.Queue < 0 || k.SlowStartShare > 1 {
			check(fmt.Errorf("key kinds.%d: %q needs cores, slots and a speed above 0, the least first", i, k.Name))
		}
	}
	for i, g := range f.Workers {
		check(known(s.kindIndex, g.Kind, false, "workers.%d.kind", i))
		check(known(s.zoneIndex, g.Zone, false, "workers.%d.zone", i))
	}
	for i, d := range f.Dispatchers {
		check(known(s.zoneIndex, d.Zone, false, "dispatchers.%d.zone", i))
		if d.Count < 1 || d.Share < 0 {
			check(fmt.Errorf("key dispatchers.%d: a count of 1 or more and a share are needed", i))
		}
	}
	if len(f.Dispatchers) == 0 {
		check(errors.New("key dispatchers: there is none"))
	}
	for i, c := range f.Classes {
		if _, ok := idempotencies[c.Idempotency]; !ok {
			check(fmt.Errorf("key classes.%d.effect: %q is none of safe, keyed and unsafe", i, c.Idempotency))
		}
		if !(c.DeadlineSeconds > 0) || !(c.Value >= 0) || c.LatencyTargetSeconds < 0 {
			check(fmt.Errorf("key classes.%d: a deadline above 0 and a worth are needed", i))
		}
	}
	for i, t := range f.Faults {
		check(known(s.zoneIndex, t.Zone, t.Type != "zone_lost", "troubles.%d.zone", i))
		check(known(s.kindIndex, t.Kind, true, "troubles.%d.kind", i))
		if !slices.Contains([]string{"zone_lost", "deaths", "drain", "shared", "reports_late"}, t.Type) {
			check(fmt.Errorf("key troubles.%d.what: %q is no trouble", i, t.Type))
		}
	}
	s.classLoads, s.tenantShares = make([]ClassLoad, len(f.Classes)), make([]float64, len(f.Tenants))
	for i, w := range l.Classes {
		if e := known(s.classIndex, w.Name, false, "load: classes.%d.name", i); e != nil {
			check(e)
			continue
		}
		if !(w.WorkMs > 0) || w.CV < 0 || w.Share < 0 {
			check(fmt.Errorf("load: key classes.%d: %q needs work_ms above 0", i, w.Name))
		}
		s.classLoads[s.classIndex[w.Name]] = w
	}
	for i, u := range l.Tenants {
		if e := known(s.tenantIndex, u.Name, false, "load: universities.%d.name", i); e != nil {
			check(e)
			continue
		}
		s.tenantShares[s.tenantIndex[u.Name]] += u.Share
	}
	for i, b := range l.Bursts {
		check(known(s.tenantIndex, b.Tenant, false, "load: bursts.%d.university", i))
	}
	if len(l.Tenants) == 0 { // as the fleet shares them out
		for i, u := range f.Tenants {
			s.tenantShares[i] = u.Share
		}
	}
	if l.Factor == 0 {
		l.Factor = 1
	}
	total, share := 0.0, 0.0
	for _, p := range s.tenantShares {
		total += p
	}
	for _, w := range s.classLoads {
		share += w.Share
	}
	switch {
	case err != nil:
	case !(l.Seconds > 0 && l.Seconds <= 1e6):
		err = fmt.Errorf("load: key seconds: %v is not in 0 to 1000000", l.Seconds)
	case len(l.Rate) == 0:
		err = errors.New("load: key rate: there is none")
	case !(total > 0):
		err = errors.New("load: key universities: their shares come to nothing")
	case !(share > 0):
		err = errors.New("load: key classes: their shares come to nothing")
	}
	for i, p := range l.Rate {
		if i > 0 && p.AtSeconds <= l.Rate[i-1].AtSeconds || !(p.PerSecond >= 0) {
			check(fmt.Errorf("load: key rate.%d: moments must grow, rates be 0 or more", i))
		}
	}
	return s, err
}

var idempotencies = map[string]decision.Idempotency{"safe": decision.Idempotent, "keyed": decision.Deduplicated, "unsafe": decision.NotIdempotent}

func sec(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func ms(v float64) time.Duration  { return time.Duration(v * float64(time.Millisecond)) }

// reportFields is how many figures a worker's report has: free slots, errors, rate, queue, as on the platform.
const reportFields = 4

// settings are what the module of a dispatcher in a zone is told, as the platform would word it.
func (s *scenario) moduleSettings(self, count, zone int) decision.Settings {
	out := decision.Settings{
		Self: self, Dispatchers: count, Zone: zone, Kinds: len(s.Kinds), Zones: len(s.Zones),
		Discovery: decision.DiscoveryPoll, MaxDiscoverySilence: 10 * time.Second, DrainGrace: sec(s.DrainGraceSeconds), AnswerGrace: 8 * time.Millisecond,
		SlowStartShare: s.SlowStart.Share, SlowStartDuration: sec(s.SlowStart.DurationSeconds), OverloadMultiple: s.SlowStart.OverloadMultiple, OverloadSpan: sec(s.SlowStart.OverloadSpanSeconds),
		ConnIdle: sec(s.ConnectionIdleSeconds), MaxAttempts: s.MaxAttempts, Cancel: true, MaxRetryAfter: 2 * time.Second, OverQuotaValue: s.OverQuotaValue,
		ReportsStart: true, ProgressInterval: progressInterval, ReportsLoad: true, Tick: 2 * time.Millisecond,
		Report: decision.LoadReportLayout{FreeSlots: 0, FreeMemory: -1, Queue: 3, InFlight: -1, Util: -1, Errors: 1},
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, decision.ClassSettings{LatencyTarget: sec(c.LatencyTargetSeconds), Stretch: c.Stretch, Deadline: sec(c.DeadlineSeconds),
			Idempotency: idempotencies[c.Idempotency], DedupScope: decision.DedupByAll, DedupWindow: sec(c.DedupWindowSeconds), Value: c.Value, LateValue: c.LateValue, WorkerKind: -1})
	}
	for _, u := range s.Tenants {
		out.Tenants = append(out.Tenants, decision.TenantSettings{Share: u.Share, RatePerSecond: u.RatePerSecond})
	}
	return out
}

const progressInterval = time.Second
