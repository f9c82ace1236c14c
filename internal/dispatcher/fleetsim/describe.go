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
	Name         string  `json:"name"`
	Cores        float64 `json:"cores"`
	Speed        Range   `json:"speed"` // a core's, 1 being the yardstick of Work; drawn for each machine
	Slots        int     `json:"slots"` // jobs at work at a time
	Queue        int     `json:"queue"` // slots that wait at most; beyond it a job is turned away
	ColdShare    float64 `json:"cold_share"`
	WarmS        float64 `json:"warm_s"`
	ConnectionMs float64 `json:"connection_ms"` // work that a new connection costs the worker
	Connections  int     `json:"connections"`   // open ones at most
	Cost         float64 `json:"cost"`          // of one machine, in any unit
}

// Group is machines of a kind in a zone.
type Group struct {
	Kind  string `json:"kind"`
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	Spare bool   `json:"spare"` // switched on beyond the usual ones
}

// Dispatchers are dispatchers in a zone.
type Dispatchers struct {
	Zone        string  `json:"zone"`
	Count       int     `json:"count"`
	Share       float64 `json:"share"` // of the traffic that each gets, against the others
	OpenJobs    int     `json:"open_jobs"`
	Connections int     `json:"worker_connections"`
}

// Class is a class of job as the settings have it.
type Class struct {
	Name      string  `json:"name"`
	Effect    string  `json:"effect"` // safe, keyed or unsafe
	WindowS   float64 `json:"window_s"`
	AimS      float64 `json:"aim_s"`
	Stretch   float64 `json:"stretch"`
	DeadlineS float64 `json:"deadline_s"`
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
}

// University is a customer with a share.
type University struct {
	Name    string  `json:"name"`
	Share   float64 `json:"share"`
	PerSecS float64 `json:"allowance_per_s"` // beyond it a job is worth OverWorth of the usual
}

// Cold is the rule on workers that have just started.
type Cold struct {
	Share    float64 `json:"share"`
	WarmS    float64 `json:"warm_s"`
	Multiple float64 `json:"multiple"`
	SpanS    float64 `json:"span_s"`
}

// Trouble is something that goes wrong on a day.
type Trouble struct {
	What  string  `json:"what"` // zone_lost, deaths, drain, shared, reports_late
	Zone  string  `json:"zone"`
	Kind  string  `json:"kind"`
	Part  float64 `json:"part"` // of the workers that Zone and Kind leave
	AtS   float64 `json:"at_s"`
	ForS  float64 `json:"for_s"`
	Takes float64 `json:"takes"` // shared: of the machine; reports_late: seconds more
	OnS   float64 `json:"on_s"`  // shared: seconds on, and
	OffS  float64 `json:"off_s"` // off, in turn
}

// Fleet describes what balances and what is balanced.
type Fleet struct {
	Zones        []string      `json:"zones"`
	SameZoneMs   float64       `json:"same_zone_ms"`
	CrossZoneMs  float64       `json:"cross_zone_ms"`
	Jitter       float64       `json:"jitter"`
	Kinds        []Kind        `json:"kinds"`
	Workers      []Group       `json:"workers"`
	Dispatchers  []Dispatchers `json:"dispatchers"`
	Classes      []Class       `json:"classes"`
	Universities []University  `json:"universities"`
	RosterS      Range         `json:"roster_delay_s"` // until a change of a worker that closes its connections is told
	SilentS      Range         `json:"silent_delay_s"` // and of one that says nothing
	ReportEveryS Range         `json:"report_every_s"` // between a worker's reports, drawn for each
	ReportDelayS Range         `json:"report_delay_s"` // their age beyond that
	ConnIdleS    float64       `json:"conn_idle_s"`    // idle connections are closed after it
	ConnectMs    float64       `json:"connect_timeout_ms"`
	Trips        float64       `json:"connection_trips"` // round trips that a new connection takes
	Attempts     int           `json:"attempts"`
	DrainGraceS  float64       `json:"drain_grace_s"`
	Cold         Cold          `json:"cold"`
	OverWorth    float64       `json:"over_worth"`
	RetryAfterMs float64       `json:"retry_after_ms"`
	Troubles     []Trouble     `json:"troubles"`
}

// Point is a rate at a moment; between two of them it changes evenly.
type Point struct {
	AtS    float64 `json:"at_s"`
	PerSec float64 `json:"per_s"`
}

// Work is a class's share of the jobs and their running time on a core of speed 1.
type Work struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Ms    float64 `json:"work_ms"`
	CV    float64 `json:"cv"` // standard deviation over mean; lognormal, constant at 0
}

// Source is a university's share of the jobs.
type Source struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Burst is a university that sends more for a while.
type Burst struct {
	University string  `json:"university"`
	Times      float64 `json:"times"`
	AtS        float64 `json:"at_s"`
	ForS       float64 `json:"for_s"`
}

// Retries are what clients do by themselves after a refusal or a failure.
type Retries struct {
	Most    int     `json:"most"`
	WaitMs  float64 `json:"wait_ms"`
	Honours bool    `json:"honours_retry_after"`
}

// Load describes what clients send on a day.
type Load struct {
	Seconds      float64  `json:"seconds"`
	Times        float64  `json:"times"` // all rates
	Rate         []Point  `json:"rate"`
	Classes      []Work   `json:"classes"`
	Universities []Source `json:"universities"`
	Bursts       []Burst  `json:"bursts"`
	Retries      Retries  `json:"retries"`
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
	or(&f.ConnIdleS, 5)
	or(&f.ConnectMs, 250)
	or(&f.Trips, 1)
	or(&f.DrainGraceS, 0.5)
	or(&f.OverWorth, 0.1)
	or(&f.RetryAfterMs, 50)
	or(&f.Cold.Share, 0.3)
	or(&f.Cold.WarmS, 8.9)
	or(&f.Cold.Multiple, 3)
	or(&f.Cold.SpanS, 1)
	between(&f.RosterS, 0.8, 4)
	between(&f.SilentS, 4, 11)
	between(&f.ReportEveryS, 0.33, 1.3)
	between(&f.ReportDelayS, 0.05, 0.28)
	if f.Attempts == 0 {
		f.Attempts = 3
	}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		or(&k.ColdShare, 0.45)
		or(&k.WarmS, 6)
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

// Filled is a copy with the defaults put in for what a description leaves out.
func (f *Fleet) Filled() *Fleet {
	out := *f
	out.Kinds, out.Dispatchers = slices.Clone(f.Kinds), slices.Clone(f.Dispatchers)
	out.fill()
	return &out
}

// names gives the places of names; a name twice, or none, is an error.
func names[T any](key string, list []T, name func(*T) string) (map[string]int, error) {
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
type site struct {
	*Fleet
	load    *Load
	zone    map[string]int
	kind    map[string]int
	class   map[string]int
	tenant  map[string]int
	work    []Work    // by class
	portion []float64 // by university
}

// together checks a fleet and a load against each other. Its errors name the key.
func together(fleet *Fleet, load *Load) (*site, error) {
	f, l := *fleet.Filled(), *load
	s := &site{Fleet: &f, load: &l, zone: map[string]int{}}
	var errs [3]error
	s.kind, errs[0] = names("kinds", f.Kinds, func(k *Kind) string { return k.Name })
	s.class, errs[1] = names("classes", f.Classes, func(c *Class) string { return c.Name })
	s.tenant, errs[2] = names("universities", f.Universities, func(u *University) string { return u.Name })
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	for i, z := range f.Zones {
		if _, twice := s.zone[z]; twice || z == "" {
			return nil, fmt.Errorf("key zones.%d: %q is missing or double", i, z)
		}
		s.zone[z] = i
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
		if !(k.Cores > 0) || !(k.Speed[0] > 0) || k.Speed[1] < k.Speed[0] || k.Slots < 1 || k.Queue < 0 || k.ColdShare > 1 {
			check(fmt.Errorf("key kinds.%d: %q needs cores, slots and a speed above 0, the least first", i, k.Name))
		}
	}
	for i, g := range f.Workers {
		check(known(s.kind, g.Kind, false, "workers.%d.kind", i))
		check(known(s.zone, g.Zone, false, "workers.%d.zone", i))
	}
	for i, d := range f.Dispatchers {
		check(known(s.zone, d.Zone, false, "dispatchers.%d.zone", i))
		if d.Count < 1 || d.Share < 0 {
			check(fmt.Errorf("key dispatchers.%d: a count of 1 or more and a share are needed", i))
		}
	}
	if len(f.Dispatchers) == 0 {
		check(errors.New("key dispatchers: there is none"))
	}
	for i, c := range f.Classes {
		if _, ok := effects[c.Effect]; !ok {
			check(fmt.Errorf("key classes.%d.effect: %q is none of safe, keyed and unsafe", i, c.Effect))
		}
		if !(c.DeadlineS > 0) || !(c.Worth >= 0) || c.AimS < 0 {
			check(fmt.Errorf("key classes.%d: a deadline above 0 and a worth are needed", i))
		}
	}
	for i, t := range f.Troubles {
		check(known(s.zone, t.Zone, t.What != "zone_lost", "troubles.%d.zone", i))
		check(known(s.kind, t.Kind, true, "troubles.%d.kind", i))
		if !slices.Contains([]string{"zone_lost", "deaths", "drain", "shared", "reports_late"}, t.What) {
			check(fmt.Errorf("key troubles.%d.what: %q is no trouble", i, t.What))
		}
	}
	s.work, s.portion = make([]Work, len(f.Classes)), make([]float64, len(f.Universities))
	for i, w := range l.Classes {
		if e := known(s.class, w.Name, false, "load: classes.%d.name", i); e != nil {
			check(e)
			continue
		}
		if !(w.Ms > 0) || w.CV < 0 || w.Share < 0 {
			check(fmt.Errorf("load: key classes.%d: %q needs work_ms above 0", i, w.Name))
		}
		s.work[s.class[w.Name]] = w
	}
	for i, u := range l.Universities {
		if e := known(s.tenant, u.Name, false, "load: universities.%d.name", i); e != nil {
			check(e)
			continue
		}
		s.portion[s.tenant[u.Name]] += u.Share
	}
	for i, b := range l.Bursts {
		check(known(s.tenant, b.University, false, "load: bursts.%d.university", i))
	}
	if len(l.Universities) == 0 { // as the fleet shares them out
		for i, u := range f.Universities {
			s.portion[i] = u.Share
		}
	}
	if l.Times == 0 {
		l.Times = 1
	}
	total, share := 0.0, 0.0
	for _, p := range s.portion {
		total += p
	}
	for _, w := range s.work {
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
		if i > 0 && p.AtS <= l.Rate[i-1].AtS || !(p.PerSec >= 0) {
			check(fmt.Errorf("load: key rate.%d: moments must grow, rates be 0 or more", i))
		}
	}
	return s, err
}

var effects = map[string]decision.Idempotency{"safe": decision.Idempotent, "keyed": decision.Deduplicated, "unsafe": decision.NotIdempotent}

func sec(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func ms(v float64) time.Duration  { return time.Duration(v * float64(time.Millisecond)) }

// reportFields is how many figures a worker's report has: free slots, errors, rate, queue, as on the platform.
const reportFields = 4

// settings are what the module of a dispatcher in a zone is told, as the platform would word it.
func (s *site) settings(self, count, zone int) decision.Settings {
	out := decision.Settings{
		Self: self, Dispatchers: count, Zone: zone, Kinds: len(s.Kinds), Zones: len(s.Zones),
		Discovery: decision.DiscoveryPoll, MaxDiscoverySilence: 10 * time.Second, DrainGrace: sec(s.DrainGraceS), AnswerGrace: 8 * time.Millisecond,
		SlowStartShare: s.Cold.Share, SlowStartDuration: sec(s.Cold.WarmS), OverloadMultiple: s.Cold.Multiple, OverloadSpan: sec(s.Cold.SpanS),
		ConnIdle: sec(s.ConnIdleS), MaxAttempts: s.Attempts, Cancel: true, MaxRetryAfter: 2 * time.Second, OverQuotaValue: s.OverWorth,
		ReportsStart: true, ProgressInterval: progress, ReportsLoad: true, Tick: 2 * time.Millisecond,
		Report: decision.LoadReportLayout{FreeSlots: 0, FreeMemory: -1, Queue: 3, InFlight: -1, Util: -1, Errors: 1},
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, decision.ClassSettings{LatencyTarget: sec(c.AimS), Stretch: c.Stretch, Deadline: sec(c.DeadlineS),
			Idempotency: effects[c.Effect], DedupScope: decision.DedupByAll, DedupWindow: sec(c.WindowS), Value: c.Worth, LateValue: c.LateWorth, WorkerKind: -1})
	}
	for _, u := range s.Universities {
		out.Tenants = append(out.Tenants, decision.TenantSettings{Share: u.Share, RatePerSecond: u.PerSecS})
	}
	return out
}

const progress = time.Second
