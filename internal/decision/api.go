// Package decision makes the decisions of a dispatcher that stands beside a
// submitter and pushes its jobs to workers.
//
// A Dispatcher is a state machine without I/O: the host tells it the time and
// one Event after the other through Dispatcher.Handle and carries out the
// Actions that come back. It owns no goroutine, clock or connection, and the
// same events always produce the same actions. This file holds the interface;
// every decision is in the files listed as policy in deploy/balancer.toml.
package decision

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// MaxKinds is how many worker kinds a site may have.
const MaxKinds = 256

// Identifiers. They carry no meaning beyond identity.
type (
	WorkerID uint32 // a worker, unchanged when its process restarts
	JobID    uint32 // one try of a client, never reused while it is open
)

// Effect says what repeating a job of a class does.
type Idempotency uint8

// The effect classes.
const (
	NotIdempotent Idempotency = iota // must never run twice
	Deduplicated                     // repeats are dropped inside a group, for a while
	Idempotent                       // may be repeated at will
)

// Group is the set of workers that drops repeats of a Keyed job.
type DedupScope uint8

// The groups of a Keyed class.
const (
	DedupByCell DedupScope = iota // workers of one cell
	DedupByZone                   // workers of one zone
	DedupByAll                    // all workers
)

// ClassSettings describes one class of job.
type ClassSettings struct {
	LatencyTarget time.Duration // an answer within it earns the full worth
	Stretch       float64       // the aim grows by this multiple of the job's own running time
	Deadline      time.Duration // the client's patience over all its tries
	Idempotency   Idempotency
	DedupScope    DedupScope    // Keyed only
	DedupWindow   time.Duration // Keyed only: how long repeats are remembered
	Value         float64       // worth of one job in time
	LateValue     float64       // share of the worth that a late answer still earns
	WorkerKind    int           // the worker kind it needs, -1 for any
	AllowedKinds  []int         // the only kinds it may be sent to, as entries number them; empty for any
	AllowedZones  []int         // the only zones it may be sent to; empty for any
	Priority      int           // the workers' own queue priority
	Stream        bool          // the answer streams; Started events arrive
}

// bound tells whether only some workers are open to the class.
func (c *ClassSettings) bound() bool {
	return c.WorkerKind >= 0 || len(c.AllowedKinds) > 0 || len(c.AllowedZones) > 0
}

// harmless tells whether a job of the class may be tried again anywhere, whatever became of its attempts.
func (c *ClassSettings) harmless() bool {
	return c.Idempotency == Idempotent || c.Idempotency == Deduplicated && c.DedupScope == DedupByAll
}

// TenantSettings describes one tenant.
type TenantSettings struct {
	Share         float64 // share of the service
	RatePerSecond float64 // jobs a second within the share, over all dispatchers; 0 if unknown
}

// Report names the position of the load report values, -1 where absent.
type LoadReportLayout struct {
	FreeSlots, FreeMemory, Queue, InFlight, Util, Errors int
}

// Waiting is the slots that a worker has promised beyond those it has, as far as it reports them: below zero where
// some are free. An absurd value counts as a long queue.
func (r LoadReportLayout) QueuedSlots(l *Load) float64 {
	wait := 0.0
	for _, f := range []struct {
		at   int
		sign float64
	}{{r.FreeSlots, -1}, {r.Queue, 1}} {
		if f.at >= 0 && f.at < min(l.Count, len(l.Values)) {
			wait += f.sign * l.Values[f.at]
		}
	}
	if !(math.Abs(wait) < math.MaxInt32) {
		return math.MaxInt32
	}
	return wait
}

// Slots is how many slots a worker has, as far as it reports it: known while some are free, 0 otherwise.
func (r LoadReportLayout) TotalSlots(l *Load) float64 {
	n := min(l.Count, len(l.Values))
	if r.FreeSlots < 0 || r.InFlight < 0 || r.FreeSlots >= n || r.InFlight >= n || !(l.Values[r.FreeSlots] > 0) {
		return 0
	}
	return l.Values[r.FreeSlots] + l.Values[r.InFlight]
}

// Discovery says how worker lists reach the dispatcher.
type Discovery uint8

// The discovery modes.
const (
	DiscoveryPush Discovery = iota // changes arrive unprompted
	DiscoveryPoll                  // only after Watch or Fetch
)

// Settings are what a dispatcher is told at its start. The zero value of a
// field means that the site does not state it.
type Settings struct {
	Self        int // this dispatcher's number
	Dispatchers int // how many there are
	Zone        int // this dispatcher's zone
	Classes     []ClassSettings
	Tenants     []TenantSettings
	Kinds       int // number of worker kinds
	Zones       int // number of zones; 0 if unknown

	Discovery           Discovery
	MaxDiscoverySilence time.Duration // longest silence towards discovery without a watch
	DrainGrace          time.Duration // sends to a leaving worker must stop within it
	AnswerGrace         time.Duration // an answer counts for this long after the deadline
	SlowStartShare      float64       // a worker starts at this share of its capacity or more
	SlowStartDuration   time.Duration // and is warm after this at the latest
	OverloadMultiple    float64       // pushed beyond this multiple of its present capacity
	OverloadSpan        time.Duration // for this long, a cold worker falls over
	DrainCloseWithin    time.Duration // idle connections to a draining worker must be closed within it; 0 = no such rule
	RejectionUnproven   bool          // Full does not prove that the attempt never ran

	ConnIdle         time.Duration // idle connections are closed after it; 0 = not stated
	MaxAttempts      int           // sends for a job; 0 = no limit stated
	ParallelAttempts bool          // two attempts of a job may be out together
	Cancel           bool          // Cancel actions are allowed
	HealthChecks     bool          // Probe actions are allowed
	PeerMessages     bool          // Tell actions are allowed
	RetryAfter       bool          // clients are told how long to stay away
	MaxRetryAfter    time.Duration

	CrossZoneCost    float64
	ValueByWork      bool          // a job's worth grows with its running time
	OverQuotaValue   float64       // worth of traffic beyond a tenant's share, as a fraction
	TailWeight       float64       // part of the goal that goes by how few of a class miss their aim in any few seconds
	ToleratedMisses  float64       // the share of misses that it bears in full
	ReportsStart     bool          // workers tell when a job starts
	ProgressInterval time.Duration // workers tell progress this often; 0 = never
	Report           LoadReportLayout
	ReportsLoad      bool // reports come with outcomes
	Tick             time.Duration
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	EventList          EventKind = iota + 1 // List, Entries
	EventJob                                // Job, Class, Tenant, Key, Deadline, Hint, Slots, Memory, Repeat
	EventStreamStarted                      // Job, Attempt, Worker: a streamed answer has begun
	EventJobProgress                        // Job, Attempt, Worker, Note, Value
	EventOutcome                            // Job, Attempt, Worker, Outcome, Closed, Took, Load
	EventClientLeft                         // Job: the client has left
	EventTimer                              // Token
	EventHealthChecked                      // Worker, Outcome, Took, Load
	EventPeerMessage                        // From, Data
)

// ListKind says how a list of workers is to be read.
type ListKind uint8

// The list kinds.
const (
	ListFailed ListKind = iota // a call failed or the watch broke; no entries
	ListCached                 // everything, as last held; maybe outdated
	ListDelta                  // changed workers only
	ListFull                   // everything; who is missing has left
)

// State of a listed worker.
type State uint8

// The states.
const (
	Gone State = iota
	Ready
	Draining
)

// Entry is one line of a list of workers. Entries may be shared between
// instances and are never changed.
type Entry struct {
	Worker  WorkerID
	Started time.Duration // when its process started; 0 = long ago
	Cell    int
	Zone    int
	Kind    int
	Weight  float64
	State   State
}

// clean brings what lies outside the settings inside, and tells whether the kind or zone is none of theirs. A
// weight that no worker can have counts as 1.
func (e *Entry) clean(s *Settings) (stray bool) {
	if !(e.Weight > 0 && e.Weight < math.MaxFloat32) {
		e.Weight = 1
	}
	stray = e.Kind < 0 || e.Kind >= s.Kinds || e.Zone < 0 || s.Zones > 0 && e.Zone >= s.Zones
	e.Kind = min(max(e.Kind, 0), s.Kinds-1)
	return stray
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	OK            Outcome = iota + 1
	Error                 // it may have run
	Rejected              // turned away unseen: it never ran
	TimedOut              // it may have run or may run still
	ConnectFailed         // no connection: it never ran
	Reset                 // connection lost: it may have run
	Cancelled             // it may have run
	NeverSent             // never issued
)

// NoteKind tells what an EventNote says.
type ProgressKind uint8

// The notes.
const (
	JobStarted  ProgressKind = iota + 1 // the job has started
	JobAdvanced                         // Value is the share done
)

// Load is a worker's report: N values in the order of Settings.Report.
type Load struct {
	Count  int
	Values [4]float64
}

// Event is one thing that happened. Kind tells which fields count.
type Event struct {
	Kind     EventKind
	List     ListKind
	Outcome  Outcome
	Progress ProgressKind
	JobEnded bool // the job has ended, with this outcome or before
	Retry    bool // marked by the client as a repeat of an earlier try
	HasHint  bool
	Job      JobID
	Worker   WorkerID
	Attempt  int
	Class    int
	Tenant   int
	Key      uint64
	Deadline time.Duration // when the client gives this try up
	Hint     time.Duration
	Slots    float64
	Memory   float64
	Duration time.Duration
	Value    float64
	Load     Load
	Token    uint32
	From     int
	Data     []byte
	Entries  []Entry
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	Send        ActionKind = iota + 1 // Job, Worker, Timeout
	Reject                            // Job, RetryAfter: trying again is harmless
	Fail                              // Job: no promise about what it did
	Cancel                            // Job, Attempt
	SetTimer                          // Token, Delay
	Watch                             // On
	Fetch                             // ask for the whole list once
	HealthCheck                       // Worker
	CloseIdle                         // Worker: close idle connections
	SendPeer                          // Peer, Data
	Log                               // Data
)

// Everyone as the Peer of a Tell reaches every other dispatcher.
const AllPeers = -1

// Action is one thing that the host is to do, now and in order.
type Action struct {
	Kind       ActionKind
	On         bool
	Job        JobID
	Worker     WorkerID
	Attempt    int
	Token      uint32
	Peer       int
	Timeout    time.Duration // 0: until the client gives up
	Delay      time.Duration
	RetryAfter time.Duration
	Data       []byte
}

// normal fills in what is missing, or names the first setting that cannot work.
func (s Settings) normal() (Settings, error) {
	for _, c := range []struct {
		name string
		ok   bool
	}{
		{"Dispatchers", s.Dispatchers >= 0},
		{"Kinds", s.Kinds >= 0 && s.Kinds <= MaxKinds},
		{"MaxAttempts", s.MaxAttempts >= 0},
		{"MaxDiscoverySilence", s.MaxDiscoverySilence >= 0},
		{"DrainGrace", s.DrainGrace >= 0},
		{"SlowStartDuration", s.SlowStartDuration >= 0},
		{"OverloadSpan", s.OverloadSpan >= 0},
		{"DrainCloseWithin", s.DrainCloseWithin >= 0},
		{"Zones", s.Zones >= 0},
		{"ConnIdle", s.ConnIdle >= 0},
		{"MaxRetryAfter", s.MaxRetryAfter >= 0},
		{"TailWeight", s.TailWeight >= 0},
		{"ToleratedMisses", s.ToleratedMisses >= 0},
		{"SlowStartShare", s.SlowStartShare >= 0 && s.SlowStartShare <= 1},
		{"OverloadMultiple", s.OverloadMultiple >= 0 && s.OverloadMultiple <= math.MaxFloat32},
	} {
		if !c.ok {
			return s, fmt.Errorf("decision: setting %s is out of range", c.name)
		}
	}
	for i, c := range s.Classes {
		if c.LatencyTarget < 0 || c.Deadline < 0 || c.DedupWindow < 0 || !(c.Value >= 0) || !(c.Stretch >= 0) || c.WorkerKind < -1 {
			return s, fmt.Errorf("decision: setting Classes[%d] is out of range", i)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Share >= 0 && t.Share <= math.MaxFloat32) || !(t.RatePerSecond >= 0 && t.RatePerSecond <= math.MaxFloat32) {
			return s, fmt.Errorf("decision: setting Tenants[%d] is out of range", i)
		}
	}
	if !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	s.Kinds, s.Dispatchers = max(s.Kinds, 1), max(s.Dispatchers, 1)
	if len(s.Classes) == 0 { // nothing is known of the jobs: the careful reading
		s.Classes = []ClassSettings{{Idempotency: NotIdempotent, Value: 1, WorkerKind: -1}}
	}
	// Jobs of tenants that are not listed count as those of one more, without a share.
	s.Tenants = append(slices.Clip(s.Tenants), TenantSettings{})
	return s, nil
}

// clean is a job's event with what lies outside the settings brought inside.
func (ev *Event) clean(s *Settings) Event {
	e := *ev
	if !(e.Slots > 0 && e.Slots < math.MaxInt32) {
		e.Slots = 1
	}
	if e.Deadline <= 0 {
		e.Deadline = math.MaxInt64
	}
	e.Class = min(max(e.Class, 0), len(s.Classes)-1)
	if e.Tenant < 0 || e.Tenant >= len(s.Tenants) {
		e.Tenant = len(s.Tenants) - 1
	}
	return e
}
