package capture

// FormatVersion is the version of the columns. A reader accepts files of this version and of older ones.
const FormatVersion = 1

// Request is a row on one request of a client, from its arrival to its answer; a client that retries makes a new one. Times
// are in nanoseconds. The columns' names are part of the file format.
type Request struct {
	Node         string  `parquet:"node,dict"`
	Boot         int64   `parquet:"boot"`            // when the dispatcher started, Unix time
	Job          int64   `parquet:"job"`             // counts accepted jobs since then, from 1; 0 for one that overflowed
	Arrived      int64   `parquet:"came,delta"`      // Unix time at the start plus monotonic time since
	ClockOffset  int64   `parquet:"clock"`           // by how much the wall clock was ahead of that: its steps
	Class        string  `parquet:"class,dict"`      // empty for one that the settings lack
	Tenant       string  `parquet:"university,dict"` // empty for one that the settings lack
	Retry        bool    `parquet:"repeat"`          // the client marked it as a retry
	Slots        float64 `parquet:"slots"`
	Memory       float64 `parquet:"memory"`
	AffinityHash uint64  `parquet:"subject"` // salted hash of the affinity key; 0 for none
	Timeout      int64   `parquet:"patience"`
	Outcome      string  `parquet:"verdict,dict"` // served, refused, failed, left or turned
	Duration     int64   `parquet:"took"`         // from the arrival to the answer
	RetryAfter   int64   `parquet:"retry_after"`
	Attempts     int32   `parquet:"attempts"`
}

// Attempt is a row on one attempt, as the dispatcher saw it. Times are in nanoseconds.
type Attempt struct {
	Node      string  `parquet:"node,dict"`
	Boot      int64   `parquet:"boot"` // as Request.Boot
	Job       int64   `parquet:"job"`
	Attempt   int32   `parquet:"attempt"` // counts from 0
	Class     string  `parquet:"class,dict"`
	Worker    string  `parquet:"worker,dict"`
	Kind      string  `parquet:"kind,dict"`    // of the worker
	Zone      string  `parquet:"zone,dict"`    // of the worker
	Sent      int64   `parquet:"sent,delta"`   // as Request.Arrived
	Started   int64   `parquet:"started"`      // after Sent; -1 where no start was reported
	Ended     int64   `parquet:"ended"`        // after Sent; -1 for one that was out when the dispatcher ended
	Outcome   string  `parquet:"outcome,dict"` // a name of dispatch.OutcomeName, or open
	FreeSlots float64 `parquet:"free_slots"`   // from the load report that came with the outcome; NaN if none did
	Queue     float64 `parquet:"queue"`        // from the same report, as are the next two
	Rate      float64 `parquet:"rate"`
	Errors    float64 `parquet:"errors"`
}
