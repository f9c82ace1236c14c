package decision

import "time"

// MaxKinds is the largest number of worker kinds in a deployment.
const MaxKinds = 256

// Idempotency states whether jobs of a class may be repeated.
type Idempotency uint8

// The values of Idempotency.
const (
	NotIdempotent Idempotency = iota // must not run twice
	Deduplicated                     // workers drop repeats within a scope, for a limited time
	Idempotent                       // may be repeated without limit
)

// DedupScope is the set of workers that drop repeats of a Deduplicated job.
type DedupScope uint8

// The values of DedupScope.
const (
	DedupByCell DedupScope = iota // workers of one cell
	DedupByZone                   // workers of one zone
	DedupByAll                    // all workers
)

// ClassSettings describes a class of jobs.
type ClassSettings struct {
	LatencyTarget time.Duration // an answer within this time earns the full value
	Stretch       float64       // the target grows by this multiple of the job's run time
	Deadline      time.Duration // how long the client waits over all its tries
	Idempotency   Idempotency
	DedupScope    DedupScope    // Deduplicated only
	DedupWindow   time.Duration // Deduplicated only: how long repeats are remembered
	Value         float64       // earned by a job that is answered in time
	LateValue     float64       // part of the value that a late answer earns
	WorkerKind    int           // the worker kind it needs, -1 for any
	AllowedKinds  []int         // the only kinds it may be sent to, numbered as in entries; empty for any
	AllowedZones  []int         // the only zones it may be sent to; empty for any
	Priority      int           // priority in the workers' own queues
	Stream        bool          // the answer streams; EventStreamStarted events arrive
}

// TenantSettings describes a tenant.
type TenantSettings struct {
	Share         float64 // share of the service
	RatePerSecond float64 // jobs per second within the share, over all dispatchers; 0 if unknown
}

// Discovery states how lists of workers reach the dispatcher.
type Discovery uint8

// The values of Discovery.
const (
	DiscoveryPush Discovery = iota // changes arrive without a request
	DiscoveryPoll                  // lists arrive only after Watch or Fetch
)

// Settings configures a Dispatcher. The zero value of a field means that the deployment does not state it.
type Settings struct {
	Self        int // this dispatcher's number
	Dispatchers int // total number of dispatchers
	Zone        int // this dispatcher's zone
	Classes     []ClassSettings
	Tenants     []TenantSettings
	Kinds       int // number of worker kinds
	Zones       int // number of zones; 0 if unknown

	Discovery           Discovery
	MaxDiscoverySilence time.Duration // longest time without a call to discovery while no watch is active
	DrainGrace          time.Duration // sends to a draining or gone worker must stop within this time
	AnswerGrace         time.Duration // an answer still counts for this time after the deadline
	SlowStartShare      float64       // a worker starts with at least this share of its capacity
	SlowStartDuration   time.Duration // a worker has its full capacity after at most this time
	OverloadMultiple    float64       // the multiple of its present capacity that overloads a warming-up worker
	OverloadSpan        time.Duration // an overload of this duration makes the worker stop working
	DrainCloseWithin    time.Duration // limit for closing idle connections to a draining worker; 0: never closed
	RejectionUnproven   bool          // Rejected does not prove that the attempt never ran

	ConnIdle         time.Duration // idle connections are closed after this time; 0: not stated
	MaxAttempts      int           // attempts per job; 0: no limit stated
	ParallelAttempts bool          // a job may have two attempts in flight
	Cancel           bool          // Cancel actions are allowed
	HealthChecks     bool          // HealthCheck actions are allowed
	PeerMessages     bool          // SendPeer actions are allowed
	RetryAfter       bool          // clients are told when to retry
	MaxRetryAfter    time.Duration // longest retry-after time that clients may be given

	CrossZoneCost    float64       // cost of sending a job to another zone, as a part of its value
	ValueByWork      bool          // the value of a job grows with its run time
	OverQuotaValue   float64       // value of jobs that exceed their tenant's share, as a fraction
	TailWeight       float64       // part of the goal that depends on the late answers in any few seconds
	ToleratedMisses  float64       // share of late answers up to which that part is met in full
	ReportsStart     bool          // workers report when a job starts
	ProgressInterval time.Duration // interval of progress reports; 0: never
	Report           LoadReportLayout
	ReportsLoad      bool          // outcomes carry load reports
	Tick             time.Duration // interval at which the host fires timers
}
