// The columns of a capture's files.

package capture

// FormatVersion is the version of the columns. A reader accepts files of this version and of older ones.
const FormatVersion = 1

// Request is one request of a client, from its arrival to its answer; a client that retries makes a new one. Times are in nanoseconds.
type Request struct {
	Node         string  `parquet:"node,dict"`
	Boot         int64   `parquet:"boot"`       // when the dispatcher started, Unix time
	Job          int64   `parquet:"job"`        // counts tries since then; 0 for one that was turned away
	Arrived      int64   `parquet:"came,delta"` // Unix time at the start plus monotonic time since
	ClockOffset  int64   `parquet:"clock"`      // what the calendar showed beyond that: its steps
	Class        string  `parquet:"class,dict"`
	Tenant       string  `parquet:"university,dict"`
	Retry        bool    `parquet:"repeat"`
	Slots        float64 `parquet:"slots"`
	Memory       float64 `parquet:"memory"`
	AffinityHash uint64  `parquet:"subject"` // salted hash; 0 for none
	Timeout      int64   `parquet:"patience"`
	Outcome      string  `parquet:"verdict,dict"` // served, refused, failed, left or turned
	Duration     int64   `parquet:"took"`         // to the answer
	RetryAfter   int64   `parquet:"retry_after"`
	Attempts     int32   `parquet:"attempts"`
}

// Attempt is one send of a job to a worker, as the dispatcher saw it.
type Attempt struct {
	Node      string  `parquet:"node,dict"`
	Boot      int64   `parquet:"boot"`
	Job       int64   `parquet:"job"`
	Attempt   int32   `parquet:"attempt"`
	Class     string  `parquet:"class,dict"`
	Worker    string  `parquet:"worker,dict"`
	Kind      string  `parquet:"kind,dict"`
	Zone      string  `parquet:"zone,dict"`
	Sent      int64   `parquet:"sent,delta"`   // as Request.Arrived
	Started   int64   `parquet:"started"`      // after Sent; -1 if that was never told
	Ended     int64   `parquet:"ended"`        // after Sent; -1 for one that was out when the dispatcher ended
	Outcome   string  `parquet:"outcome,dict"` // ok, error, full, timed_out, connect_failed, reset, cancelled, open
	FreeSlots float64 `parquet:"free_slots"`   // from the load report that came with the outcome; NaN if none did
	Queue     float64 `parquet:"queue"`
	Rate      float64 `parquet:"rate"` // the report's other figures, in its order
	Errors    float64 `parquet:"errors"`
}
