package decision

import "time"

// MaxKinds is how many worker kinds a deployment may have.
const MaxKinds = 256

// Idempotency says what repeating a job of a class does.
type Idempotency uint8

// The idempotency classes.
const (
	NotIdempotent Idempotency = iota // must never run twice
	Deduplicated                     // repeats are dropped inside a scope, for a while
	Idempotent                       // may be repeated at will
)

// DedupScope is the set of workers that drops repeats of a Deduplicated job.
type DedupScope uint8

// The scopes of a Deduplicated class.
const (
	DedupByCell DedupScope = iota // workers of one cell
	DedupByZone                   // workers of one zone
	DedupByAll                    // all workers
)

// ClassSettings describes one class of job.
type ClassSettings struct {
	LatencyTarget time.Duration // an answer within it earns the full value
	Stretch       float64       // the target grows by this multiple of the job's own running time
	Deadline      time.Duration // the client's patience over all its tries
	Idempotency   Idempotency
	DedupScope    DedupScope    // Deduplicated only
	DedupWindow   time.Duration // Deduplicated only: how long repeats are remembered
	Value         float64       // what one job earns in time
	LateValue     float64       // part of the value that a late answer still earns
	WorkerKind    int           // the worker kind it needs, -1 for any
	AllowedKinds  []int         // the only kinds it may be sent to, as entries number them; empty for any
	AllowedZones  []int         // the only zones it may be sent to; empty for any
	Priority      int           // the workers' own queue priority
	Stream        bool          // the answer streams; EventStreamStarted events arrive
}

// TenantSettings describes one tenant.
type TenantSettings struct {
	Share         float64 // share of the service
	RatePerSecond float64 // jobs a second within the share, over all dispatchers; 0 if unknown
}

// Discovery says how lists of workers reach the dispatcher.
type Discovery uint8

// The discovery modes.
const (
	DiscoveryPush Discovery = iota // changes arrive unprompted
	DiscoveryPoll                  // only after Watch or Fetch
)

// Settings are what a dispatcher is told at its start. The zero value of a field means that the deployment
// does not state it.
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
	SlowStartDuration   time.Duration // and has its full capacity after this at the latest
	OverloadMultiple    float64       // pushed beyond this multiple of its present capacity
	OverloadSpan        time.Duration // for this long, a warming worker is overloaded and stops working
	DrainCloseWithin    time.Duration // idle connections to a draining worker are closed within it; 0 = never
	RejectionUnproven   bool          // Rejected does not prove that the attempt never ran

	ConnIdle         time.Duration // idle connections are closed after it; 0 = not stated
	MaxAttempts      int           // attempts for a job; 0 = no limit stated
	ParallelAttempts bool          // two attempts of a job may be out together
	Cancel           bool          // Cancel actions are allowed
	HealthChecks     bool          // HealthCheck actions are allowed
	PeerMessages     bool          // SendPeer actions are allowed
	RetryAfter       bool          // clients are told how long to stay away
	MaxRetryAfter    time.Duration // the longest time that they may be told

	CrossZoneCost    float64       // price of sending a job to another zone
	ValueByWork      bool          // a job's value grows with its running time
	OverQuotaValue   float64       // value of traffic beyond a tenant's share, as a fraction
	TailWeight       float64       // part of the goal that goes by late answers in any few seconds
	ToleratedMisses  float64       // the share of late answers that it bears in full
	ReportsStart     bool          // workers tell when a job starts
	ProgressInterval time.Duration // workers tell progress this often; 0 = never
	Report           LoadReportLayout
	ReportsLoad      bool          // load reports come with outcomes
	Tick             time.Duration // the interval at which the host acts on timers
}
