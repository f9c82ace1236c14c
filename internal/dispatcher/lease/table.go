// Package lease decides what may be done with a durable job. Each placement group of dispatchers replicates one Table; a
// quorum agrees on the order of its commands, and every replica applies them to the same records with the same responses. A
// record is a lease on a job: one owner holds it under an epoch, a fencing token that rejects the commands of an owner that
// was replaced. A Lease, with capital letter, is the holder's side of one record (lease.go).
//
// Two owners never act under one epoch, an outcome never changes, and no send passes that the job's class forbids. The
// package has no I/O, clock or goroutine: each command carries the time of the dispatcher that wrote it. It chooses no worker
// and rejects no job for load, which the decision module does. docs/durable-jobs-design.md has the tables.
//
// Start reading at Table.Apply (table.go), then Lease.HandleResponse (lease.go).
package lease

import (
	"bytes"
	"slices"

	"gladepick/internal/priorityqueue"
)

// Table is one replica of a placement group's records. It is not safe for concurrent use.
type Table struct {
	records     map[string]*Record
	keysByOwner map[string]map[string]bool  // keys of open records, by owner
	lastEpoch   uint64                      // the last epoch given; none is given twice, so that a late command of one does not count in another
	expiries    priorityqueue.Queue[expiry] // when records may be removed; some of them have been acquired again since
}

type expiry struct {
	at  int64
	key string
}

// Before orders by time, then by key, so that the order is the same at all replicas whatever way they came to the set.
func (d expiry) Before(other expiry) bool {
	return d.at < other.at || d.at == other.at && d.key < other.key
}

// expiresAt is when a record that is over may go.
func (r *Record) expiresAt() int64 { return max(r.ChangedAt, r.Terms.Deadline) + r.Terms.Retention }

// scheduleExpiry has a record removed after its retention.
func (t *Table) scheduleExpiry(r *Record) { t.expiries.Push(expiry{r.expiresAt(), r.Key}) }

// New returns an empty table.
func New() *Table {
	return &Table{records: map[string]*Record{}, keysByOwner: map[string]map[string]bool{}}
}

// Get returns the record of a key. One that is Ended is final; others may be behind the group's leader.
func (t *Table) Get(key string) (Record, bool) {
	r := t.records[key]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Owned returns the keys of the open records that an owner holds, sorted.
func (t *Table) Owned(owner string) []string { return sortedKeys(t.keysByOwner[owner]) }

// Owners returns the owners that hold open records, sorted.
func (t *Table) Owners() []string { return sortedKeys(t.keysByOwner) }

// ForEach calls f with each record, in order of the keys, until it returns false.
func (t *Table) ForEach(f func(*Record) bool) {
	for _, k := range sortedKeys(t.records) {
		if !f(t.records[k]) {
			return
		}
	}
}

func sortedKeys[V any](in map[string]V) []string {
	out := make([]string, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// setOwner gives a record to an owner, or to nobody where it is empty.
func (t *Table) setOwner(r *Record, owner string) {
	if keys := t.keysByOwner[r.Owner]; keys != nil {
		if delete(keys, r.Key); len(keys) == 0 {
			delete(t.keysByOwner, r.Owner)
		}
	}
	if r.Owner = owner; owner != "" {
		if t.keysByOwner[owner] == nil {
			t.keysByOwner[owner] = map[string]bool{}
		}
		t.keysByOwner[owner][r.Key] = true
	}
}

// beginEpoch begins another epoch of a record, and remembers what the one before may have run.
func (t *Table) beginEpoch(r *Record, owner string, now int64) {
	t.setOwner(r, owner)
	t.lastEpoch++
	r.EarlierSendAt, r.FirstSendAt = r.earliestSendAt(), 0
	r.Epoch, r.Attempt, r.State, r.ChangedAt = t.lastEpoch, 0, Owned, now
}

// finish gives a record its outcome, and drops the job, which is not needed any more.
func (t *Table) finish(r *Record, v Outcome, result []byte, now int64) {
	t.setOwner(r, "")
	r.State, r.Outcome, r.Result, r.Job, r.ChangedAt = Ended, v, result, nil, now
	t.scheduleExpiry(r)
}

func (r *Record) finishedResponse() Response {
	return Response{Decision: AlreadyFinished, Epoch: r.Epoch, Outcome: r.Outcome, Result: r.Result}
}

// Apply applies the next command. The same commands in the same order lead to the same responses at every replica.
func (t *Table) Apply(c *Command) Response {
	switch c.Kind {
	case Acquire:
		return t.acquire(c)
	case TakeOver:
		return t.takeOver(c)
	case Expire:
		return t.expire(c)
	}
	r := t.records[c.Key]
	switch {
	case r == nil:
		return Response{Decision: Fenced}
	case r.State == Ended && r.Epoch == c.Epoch && c.Kind == Finish && r.Outcome == c.Outcome && bytes.Equal(r.Result, c.Result):
		return Response{Decision: Granted, Epoch: r.Epoch} // the same command once more
	case r.State == Ended:
		return r.finishedResponse()
	case r.Owner != c.Owner || r.Epoch != c.Epoch:
		return Response{Decision: Fenced, Epoch: r.Epoch}
	}
	switch c.Kind {
	case IntendSend:
		return t.intendSend(r, c)
	case Finish:
		t.finish(r, c.Outcome, c.Result, c.Time)
		return Response{Decision: Granted, Epoch: r.Epoch}
	case Release:
		if c.NothingRan {
			r.FirstSendAt = 0
		}
		epoch := r.Epoch
		if t.setOwner(r, ""); r.earliestSendAt() == 0 { // it never ran: as if it had never been taken
			delete(t.records, r.Key)
		} else {
			r.State, r.ChangedAt = Released, c.Time
			t.scheduleExpiry(r)
		}
		return Response{Decision: Granted, Epoch: epoch}
	}
	return Response{Decision: Forbidden}
}

func (t *Table) acquire(c *Command) Response {
	r := t.records[c.Key]
	switch {
	case r == nil && len(t.records) >= c.Terms.MaxRecords:
		return Response{Decision: TableFull}
	case r == nil:
		r = &Record{Key: c.Key, Terms: c.Terms, Job: c.Job}
		t.records[c.Key] = r
		t.beginEpoch(r, c.Owner, c.Time)
		return Response{Decision: Granted, Epoch: r.Epoch}
	case r.State == Ended:
		return r.finishedResponse()
	case r.State != Released && r.Owner == c.Owner && r.Terms.RequestID == c.Terms.RequestID: // the same command once more
		return Response{Decision: Granted, Epoch: r.Epoch, MayHaveRun: r.EarlierSendAt != 0}
	case r.State != Released:
		return Response{Decision: OwnedElsewhere, Epoch: r.Epoch}
	}
	// Its client comes again. He waits longer now; what the class allows after the first send stays as it was.
	r.Terms.Deadline, r.Terms.RequestID = max(r.Terms.Deadline, c.Terms.Deadline), c.Terms.RequestID
	if r.IsBeyondRetry(c.Time) {
		t.finish(r, Failed, nil, c.Time)
		return r.finishedResponse()
	}
	r.Job = c.Job
	t.beginEpoch(r, c.Owner, c.Time)
	return Response{Decision: Granted, Epoch: r.Epoch, MayHaveRun: true}
}

// intendSend allows or forbids a send: every send of every owner passes here.
func (t *Table) intendSend(r *Record, c *Command) Response {
	if c.Attempt == r.Attempt && r.State == SendIntended { // the same command once more
		return Response{Decision: Granted, Epoch: r.Epoch}
	}
	if c.NothingRan && c.Attempt > r.Attempt {
		r.FirstSendAt = 0
	}
	if c.Attempt <= r.Attempt || !r.MaySend(c.Time, c.Place) { // one in between may have been given up on its way
		return Response{Decision: Forbidden, Epoch: r.Epoch}
	}
	if r.earliestSendAt() == 0 {
		r.Place = c.Place
	}
	if r.FirstSendAt == 0 {
		r.FirstSendAt = c.Time
	}
	r.Attempt, r.State, r.ChangedAt = c.Attempt, SendIntended, c.Time
	return Response{Decision: Granted, Epoch: r.Epoch}
}

// takeOverDelayMilliseconds is how long after its client's deadline, in ms, a record may be open before any dispatcher may finish it.
const takeOverDelayMilliseconds = 5000

// takeOver gives the records of a failed owner to another, some at a time; without a name, those that their owner has not
// finished in time.
func (t *Table) takeOver(c *Command) Response {
	out := Response{Decision: Done}
	owners := []string{c.PreviousOwner}
	if c.PreviousOwner == "" {
		owners = t.Owners()
	}
	for _, o := range owners {
		for _, k := range t.Owned(o) {
			r := t.records[k]
			if c.PreviousOwner == "" && c.Time < r.Terms.Deadline+takeOverDelayMilliseconds {
				continue
			}
			if out.Moved >= c.Limit {
				out.More = true
				return out
			}
			t.beginEpoch(r, c.Owner, c.Time)
			out.Moved++
		}
	}
	return out
}

// expire removes finished and released records past their retention. Released ones stay as long as finished ones: their
// history prevents a second run.
func (t *Table) expire(c *Command) Response {
	out := Response{Decision: Done}
	for len(t.expiries) > 0 && t.expiries[0].at <= c.Time {
		d := t.expiries[0]
		r := t.records[d.key]
		over := r != nil && (r.State == Ended || r.State == Released) && r.expiresAt() == d.at
		if over && out.Moved >= c.Limit {
			out.More = true
			break
		}
		if t.expiries.Pop(); over {
			delete(t.records, d.key)
			out.Moved++
		}
	}
	return out
}
