package lease

// State is how far a durable job has come.
type State uint8

// The states. Unknown stands for a record that is not in the table.
const (
	Unknown      State = iota
	Owned              // an owner holds it, and nothing of its epoch may have run
	SendIntended       // the intent of a send is committed: it may have run
	Released           // released: nobody runs it, and that it may have run is remembered
	Ended              // its outcome is final
)

// String returns the name of the value.
func (s State) String() string {
	return [...]string{"forgotten", "taken", "sent", "loose", "ended"}[min(s, Ended)]
}

// Outcome is how a job ended.
type Outcome uint8

// The outcomes.
const (
	Served Outcome = iota + 1 // Result is what a worker gave
	Failed                    // nothing is said about what the job did, and it is not tried again
)

// Record is what a replica stores of one job.
type Record struct {
	_             struct{} `cbor:",toarray"`
	Key           string
	State         State
	Owner         string // empty where nobody holds it
	Epoch         uint64
	Terms         Terms
	Job           []byte
	Attempt       uint32 // the last of this epoch
	FirstSendAt   int64  // Unix ms at which the first send of this epoch that may have run was allowed; 0: none
	EarlierSendAt int64  // the same, of all epochs before
	Place         uint32 // of the worker that may have run it
	ChangedAt     int64  // of its last change
	Outcome       Outcome
	Result        []byte
}

// earliestSendAt returns when the first send that may have run was allowed, in Unix ms; 0 where none was.
func (r *Record) earliestSendAt() int64 {
	if r.EarlierSendAt != 0 {
		return r.EarlierSendAt
	}
	return r.FirstSendAt
}

// MaySend tells whether the class allows a send at a time, to a place.
func (r *Record) MaySend(now int64, place uint32) bool {
	since := r.earliestSendAt()
	return now < r.Terms.Deadline && (since == 0 ||
		r.Terms.RetryWindow > 0 && now-since < r.Terms.RetryWindow && (!r.Terms.SamePlaceOnly || place == r.Place))
}

// IsBeyondRetry tells that no send is allowed any more, to any place: what the job did will not be known.
func (r *Record) IsBeyondRetry(now int64) bool {
	since := r.earliestSendAt()
	return now >= r.Terms.Deadline || since != 0 && (r.Terms.RetryWindow == 0 || now-since >= r.Terms.RetryWindow)
}
