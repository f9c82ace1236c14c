package capture

// FormatVersion is the version of the file format. Read accepts captures of this version and of older ones.
const FormatVersion = 1

// Request is the row of one client request, from its arrival to its answer. A retry by the client is a new row. Times
// are in nanoseconds. The column names are part of the file format.
type Request struct {
	Node         string  `parquet:"node,dict"`
	Boot         int64   `parquet:"boot"`            // start of the dispatcher, Unix time
	Job          int64   `parquet:"job"`             // counts accepted jobs since Boot, from 1; 0 if overflowed
	Arrived      int64   `parquet:"came,delta"`      // Boot plus the monotonic time since
	ClockOffset  int64   `parquet:"clock"`           // wall clock minus the clock of Arrived, read at the answer
	Class        string  `parquet:"class,dict"`      // empty if not in the settings
	Tenant       string  `parquet:"university,dict"` // empty if not in the settings
	Retry        bool    `parquet:"repeat"`          // the client marked the request as a retry
	Slots        float64 `parquet:"slots"`
	Memory       float64 `parquet:"memory"`
	AffinityHash uint64  `parquet:"subject"` // salted hash of the affinity key; 0 for none
	Timeout      int64   `parquet:"patience"`
	Outcome      string  `parquet:"verdict,dict"` // served, refused, failed, left or turned
	Duration     int64   `parquet:"took"`         // from the arrival to the answer
	RetryAfter   int64   `parquet:"retry_after"`
	Attempts     int32   `parquet:"attempts"`
}

// Attempt is the row of one attempt to run a job on a worker, as the dispatcher observed it. Times are in nanoseconds.
type Attempt struct {
	Node      string  `parquet:"node,dict"`
	Boot      int64   `parquet:"boot"` // as in Request
	Job       int64   `parquet:"job"`
	Attempt   int32   `parquet:"attempt"` // counts from 0
	Class     string  `parquet:"class,dict"`
	Worker    string  `parquet:"worker,dict"`
	Kind      string  `parquet:"kind,dict"`    // of the worker
	Zone      string  `parquet:"zone,dict"`    // of the worker
	Sent      int64   `parquet:"sent,delta"`   // clock of Request.Arrived
	Started   int64   `parquet:"started"`      // after Sent; -1 if no start was reported
	Ended     int64   `parquet:"ended"`        // after Sent; -1 if in flight when the dispatcher stopped
	Outcome   string  `parquet:"outcome,dict"` // result of dispatch.OutcomeName, or open
	FreeSlots float64 `parquet:"free_slots"`   // from the load report of the outcome; NaN without one
	Queue     float64 `parquet:"queue"`        // from the same report, like Rate and Errors
	Rate      float64 `parquet:"rate"`
	Errors    float64 `parquet:"errors"`
}
