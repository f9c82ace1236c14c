package lease

// State is the state of a durable job in the table.
type State uint8

// The states. Unknown means that there is no record. The numbers are part of the encoding of snapshots.
const (
	Unknown      State = iota
	Owned              // an owner holds the lease and has sent nothing in its epoch
	SendIntended       // the intent of a send is committed; the job may have run
	Released           // the lease has no owner; the record keeps whether the job may have run
	Ended              // the outcome is committed and final
)

// String returns the name under which operators see the state.
func (s State) String() string {
	return [...]string{"forgotten", "taken", "sent", "loose", "ended"}[min(s, Ended)]
}

// Outcome is the final result of a job.
type Outcome uint8

// Final results of a job.
const (
	Served Outcome = iota + 1 // a worker ran the job; Result is its response
	Failed                    // the job is not tried again; whether it ran is unknown
)

// Record is the entry of one job in a table.
type Record struct {
	_             struct{} `cbor:",toarray"`
	Key           string
	State         State
	Owner         string // empty without an owner
	Epoch         uint64
	Terms         Terms
	Job           []byte // encoded; nil once the job is finished
	Attempt       uint32 // number of the last attempt in this epoch
	FirstSendAt   int64  // Unix ms of the intent of the first send in this epoch that may have run; 0: none
	EarlierSendAt int64  // the same for all earlier epochs
	Place         uint32 // zone or cell of the worker that may have run the job first
	ChangedAt     int64  // Unix ms of the last change
	Outcome       Outcome
	Result        []byte
}

// earliestSendAt returns the time of the intent of the first send that may have run, in Unix ms, or 0 without one.
func (r *Record) earliestSendAt() int64 {
	if r.EarlierSendAt != 0 {
		return r.EarlierSendAt
	}
	return r.FirstSendAt
}

// MaySend reports whether the terms allow a send at a time, in Unix ms, to a worker of a place.
func (r *Record) MaySend(now int64, place uint32) bool {
	firstSentAt := r.earliestSendAt()
	return now < r.Terms.Deadline && (firstSentAt == 0 ||
		r.Terms.RetryWindow > 0 && now-firstSentAt < r.Terms.RetryWindow && (!r.Terms.SamePlaceOnly || place == r.Place))
}

// IsBeyondRetry reports whether no send is allowed any more to any place. If the job was sent, whether it ran stays
// unknown.
func (r *Record) IsBeyondRetry(now int64) bool {
	firstSentAt := r.earliestSendAt()
	return now >= r.Terms.Deadline || firstSentAt != 0 && (r.Terms.RetryWindow == 0 || now-firstSentAt >= r.Terms.RetryWindow)
}
