// Package lease keeps the leases on durable jobs. Each placement group of dispatchers replicates one Table: a quorum
// agrees on the order of its commands, and every replica applies them with the same responses. A record of the table is
// the lease on one job. One owner holds it under an epoch, a fencing token that rejects the commands of replaced
// owners. The type Lease is the owner's side of one record (lease.go).
//
// The package guarantees that two owners never act under the same epoch, that an outcome never changes, and that no
// send that the job's class forbids is granted. It does no I/O and has no clock and no goroutine: each command carries
// the time of the dispatcher that proposed it. It does not choose workers or reject jobs for load; the decision module
// does. docs/durable-jobs-design.md has the tables of what an owner may do.
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
	lastEpoch   uint64                      // the last epoch assigned; never reused, so that late commands are fenced
	expiries    priorityqueue.Queue[expiry] // removal times; stale for a record that was acquired again
}

// expiry is the time, in Unix ms, at which a record may be removed.
type expiry struct {
	at  int64
	key string
}

// Before orders by time, then by key. The order is the same on all replicas, also on one restored from a snapshot.
func (e expiry) Before(other expiry) bool {
	return e.at < other.at || e.at == other.at && e.key < other.key
}

// expiresAt returns the time, in Unix ms, at which a finished or released record may be removed.
func (r *Record) expiresAt() int64 { return max(r.ChangedAt, r.Terms.Deadline) + r.Terms.Retention }

// scheduleExpiry schedules the removal of a finished or released record.
func (t *Table) scheduleExpiry(r *Record) { t.expiries.Push(expiry{r.expiresAt(), r.Key}) }

// New returns an empty table.
func New() *Table {
	return &Table{records: map[string]*Record{}, keysByOwner: map[string]map[string]bool{}}
}

// Get returns the record of a key. A record that is Ended is final; another may lag behind the group's leader.
func (t *Table) Get(key string) (Record, bool) {
	r := t.records[key]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Owned returns the sorted keys of the open records of an owner.
func (t *Table) Owned(owner string) []string { return sortedKeys(t.keysByOwner[owner]) }

// Owners returns the sorted owners of open records.
func (t *Table) Owners() []string { return sortedKeys(t.keysByOwner) }

// ForEach calls f with each record, sorted by key, until f returns false.
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

// setOwner changes the owner of a record. An empty owner means none.
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

// beginEpoch gives a record to an owner under a new epoch. It keeps the time of the first send that may have run in
// an earlier epoch.
func (t *Table) beginEpoch(r *Record, owner string, now int64) {
	t.setOwner(r, owner)
	t.lastEpoch++
	r.EarlierSendAt, r.FirstSendAt = r.earliestSendAt(), 0
	r.Epoch, r.Attempt, r.State, r.ChangedAt = t.lastEpoch, 0, Owned, now
}

// finish sets the outcome of a record. It drops the job, which will not be sent any more.
func (t *Table) finish(r *Record, outcome Outcome, result []byte, now int64) {
	t.setOwner(r, "")
	r.State, r.Outcome, r.Result, r.Job, r.ChangedAt = Ended, outcome, result, nil, now
	t.scheduleExpiry(r)
}

// finishedResponse returns the response to a command for a finished record.
func (r *Record) finishedResponse() Response {
	return Response{Decision: AlreadyFinished, Epoch: r.Epoch, Outcome: r.Outcome, Result: r.Result}
}

// Apply applies the next command of the log. The same commands in the same order give the same responses on every
// replica.
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
		return Response{Decision: Granted, Epoch: r.Epoch} // a repetition of the same command
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
		if t.setOwner(r, ""); r.earliestSendAt() == 0 { // the job never ran: remove its record
			delete(t.records, r.Key)
		} else {
			r.State, r.ChangedAt = Released, c.Time
			t.scheduleExpiry(r)
		}
		return Response{Decision: Granted, Epoch: epoch}
	}
	return Response{Decision: Forbidden}
}

// acquire gives the lease on a new or released job to an owner. A released job that may not be sent again is finished.
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
	case r.State != Released && r.Owner == c.Owner && r.Terms.RequestID == c.Terms.RequestID:
		// A repetition of the same command.
		return Response{Decision: Granted, Epoch: r.Epoch, MayHaveRun: r.EarlierSendAt != 0}
	case r.State != Released:
		return Response{Decision: OwnedElsewhere, Epoch: r.Epoch}
	}
	// The client retries a released job. Its later deadline counts; the other terms stay as they were at the first
	// Acquire.
	r.Terms.Deadline, r.Terms.RequestID = max(r.Terms.Deadline, c.Terms.Deadline), c.Terms.RequestID
	if r.IsBeyondRetry(c.Time) {
		t.finish(r, Failed, nil, c.Time)
		return r.finishedResponse()
	}
	r.Job = c.Job
	t.beginEpoch(r, c.Owner, c.Time)
	return Response{Decision: Granted, Epoch: r.Epoch, MayHaveRun: true}
}

// intendSend grants or forbids a send. Every send of every owner needs this grant.
func (t *Table) intendSend(r *Record, c *Command) Response {
	if c.Attempt == r.Attempt && r.State == SendIntended { // a repetition of the same command
		return Response{Decision: Granted, Epoch: r.Epoch}
	}
	if c.NothingRan && c.Attempt > r.Attempt {
		r.FirstSendAt = 0
	}
	// Attempt numbers may have gaps: the owner may have given up an intent before it was applied.
	if c.Attempt <= r.Attempt || !r.MaySend(c.Time, c.Place) {
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

// takeOverDelayMilliseconds is the time after the client's deadline, in ms, after which an open record is overdue and
// may be taken over from an owner that has not failed.
const takeOverDelayMilliseconds = 5000

// takeOver gives records of a failed owner to another, at most Limit. Without PreviousOwner it gives the overdue
// records of all owners.
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

// expire removes finished and released records past their retention, at most Limit. Released records are kept as long
// as finished ones, because their history prevents a second run.
func (t *Table) expire(c *Command) Response {
	out := Response{Decision: Done}
	for len(t.expiries) > 0 && t.expiries[0].at <= c.Time {
		next := t.expiries[0]
		r := t.records[next.key]
		isExpired := r != nil && (r.State == Ended || r.State == Released) && r.expiresAt() == next.at
		if isExpired && out.Moved >= c.Limit {
			out.More = true
			break
		}
		if t.expiries.Pop(); isExpired {
			delete(t.records, next.key)
			out.Moved++
		}
	}
	return out
}
