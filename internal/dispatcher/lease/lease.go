// Package lease says what may be done for a job that was taken for keeps. A Table is
// one copy of the promises of one placement group: it is handed commands in the order
// on which a quorum agreed, and every copy comes to the same records and the same
// answers. It has no I/O, clock or goroutine: each command carries the time of who
// wrote it. This file owns the records, the epochs that fence an owner who was
// replaced, and the one place where a send, an answer or a repeat is let through. It
// must never let two owners act under one epoch, an outcome change, or a send pass that
// the class of the job forbids. It chooses no worker and refuses nobody for load: the
// decision module does. docs/durable-jobs-design.md has the tables.
package lease

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/priorityqueue"
)

// State is how far a promise is.
type State uint8

// The states. A record that nobody knows any more is Forgotten: it is not in the table.
const (
	Forgotten State = iota
	Taken           // an owner has it, and nothing of his epoch may have run
	Sent            // the intent of a send stands: it may have run
	Loose           // given back: nobody runs it, and what may have run is remembered
	Ended           // its outcome stands, for good
)

// String returns the name of the value.
func (s State) String() string {
	return [...]string{"forgotten", "taken", "sent", "loose", "ended"}[min(s, Ended)]
}

// Verdict is an outcome.
type Verdict uint8

// The verdicts.
const (
	Served Verdict = iota + 1 // Result is what a worker gave
	Failed                    // no promise about what the job did, and no further try
)

// Kind tells what a command wants.
type Kind uint8

// The commands.
const (
	Take   Kind = iota + 1 // Owner takes a job for keeps
	Intent                 // Owner is about to send it to a worker
	End                    // Owner has its outcome
	Return                 // Owner gives it back without an outcome
	Seize                  // Owner gets all that From holds, in a new epoch: From is no member any more
	Forget                 // records that are over, and older than their time, go
)

// Command is one entry of the log. Times are Unix time in milliseconds, by the clock of who wrote it.
type Command struct {
	_       struct{} `cbor:",toarray"`
	Kind    Kind
	Key     string
	Owner   string // a dispatcher's name and life
	Epoch   uint64 // Intent, End, Return: under which the owner holds it
	Now     int64
	Terms   Terms  // Take
	Job     []byte // Take: all that a successor needs to run it
	Attempt uint32 // Intent: counted from 1 in the epoch
	Place   uint32 // Intent: the zone or cell of the worker, whichever binds a repeat
	Clean   bool   // Intent, Return: every earlier send of this epoch is proved never to have run
	Verdict Verdict
	Result  []byte
	From    string // Seize: whose
	Most    int    // Seize, Forget: records at most
}

// Terms are what the class of a job allows, fixed when it is first taken.
type Terms struct {
	_      struct{} `cbor:",toarray"`
	Again  int64    // ms after the first send that may have run, within which it may be sent again; 0: never again
	Bound  bool     // and only to a worker of the same place
	Until  int64    // the client's own deadline: nothing is sent after it
	Keep   int64    // ms that the outcome is kept
	Most   int      // records that a table may hold
	Sender uint64   // whose try this is: a repeat of the same command is granted again
}

// Word is what becomes of a command.
type Word uint8

// The words.
const (
	Granted Word = iota + 1 // go ahead; Epoch is the owner's
	Joined                  // somebody else has it: its outcome is to be waited for
	Known                   // it has ended: Verdict and Result say how
	Fenced                  // the owner has it no more
	Barred                  // the class forbids this send; the owner may only end it
	Full                    // no room for another promise
	Done                    // Seize, Forget: Moved records were moved or forgotten
)

// String returns the name of the value.
func (w Word) String() string {
	return [...]string{"none", "granted", "joined", "known", "fenced", "barred", "full", "done"}[min(w, Done)]
}

// Reply is what comes of a command.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	Word    Word
	Epoch   uint64
	Old     bool // Take: an epoch before may have run it
	Verdict Verdict
	Result  []byte
	Moved   int
	More    bool // Seize, Forget: there are more
}

// Record is one promise.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	State   State
	Owner   string // empty: nobody
	Epoch   uint64
	Terms   Terms
	Job     []byte
	Attempt uint32 // the last of this epoch
	First   int64  // when the first send of this epoch that may have run was let through; 0: none
	Old     int64  // the same, of all epochs before
	Place   uint32 // of the worker that may have run it
	At      int64  // of its last change
	Verdict Verdict
	Result  []byte
}

// since is when the first send that may have run was let through; 0: none was.
func (r *Record) since() int64 {
	if r.Old != 0 {
		return r.Old
	}
	return r.First
}

// May tells whether a send at a time, to a place, is within what the class allows.
func (r *Record) May(now int64, place uint32) bool {
	since := r.since()
	return now < r.Terms.Until && (since == 0 ||
		r.Terms.Again > 0 && now-since < r.Terms.Again && (!r.Terms.Bound || place == r.Place))
}

// Hopeless tells that nothing may be sent any more, wherever to: what it did will not be known.
func (r *Record) Hopeless(now int64) bool {
	since := r.since()
	return now >= r.Terms.Until || since != 0 && (r.Terms.Again == 0 || now-since >= r.Terms.Again)
}

// Table is one copy of a group's promises. It is not safe for concurrent use.
type Table struct {
	records map[string]*Record
	owned   map[string]map[string]bool // keys of open records, by owner
	last    uint64                     // epoch given: none comes twice, lest a late command of one counts in another
	dues    priorityqueue.Queue[due]   // when records that are over may go; some have been taken again since
}

type due struct {
	at  int64
	key string
}

// Before orders by time, then by key, so that the order is the same at all replicas whatever way they came to the set.
func (d due) Before(other due) bool {
	return d.at < other.at || d.at == other.at && d.key < other.key
}

// due is when a record that is over may go.
func (r *Record) due() int64 { return max(r.At, r.Terms.Until) + r.Terms.Keep }

// rest notes that a record is over.
func (t *Table) rest(r *Record) { t.dues.Push(due{r.due(), r.Key}) }

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*Record{}, owned: map[string]map[string]bool{}} }

// Get looks a record up. What Ended says there is said for good; all else may be behind.
func (t *Table) Get(key string) (Record, bool) {
	r := t.records[key]
	if r == nil {
		return Record{}, false
	}
	return *r, true
}

// Len is the number of records.
func (t *Table) Len() int { return len(t.records) }

// Owned are the keys of the open records that an owner has, in order.
func (t *Table) Owned(owner string) []string { return sorted(t.owned[owner]) }

// Owners have open records.
func (t *Table) Owners() []string { return sorted(t.owned) }

// Each shows all records, in order of their keys, until the function says no.
func (t *Table) Each(f func(*Record) bool) {
	for _, k := range sorted(t.records) {
		if !f(t.records[k]) {
			return
		}
	}
}

func sorted[V any](in map[string]V) []string {
	out := make([]string, 0, len(in))
	for k := range in {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// own moves a record to an owner; empty is nobody.
func (t *Table) own(r *Record, owner string) {
	if keys := t.owned[r.Owner]; keys != nil {
		if delete(keys, r.Key); len(keys) == 0 {
			delete(t.owned, r.Owner)
		}
	}
	if r.Owner = owner; owner != "" {
		if t.owned[owner] == nil {
			t.owned[owner] = map[string]bool{}
		}
		t.owned[owner][r.Key] = true
	}
}

// renew begins another epoch: what the one before may have run is remembered.
func (t *Table) renew(r *Record, owner string, now int64) {
	t.own(r, owner)
	t.last++
	r.Old, r.First = r.since(), 0
	r.Epoch, r.Attempt, r.State, r.At = t.last, 0, Taken, now
}

// end gives a record its outcome. Its job is needed no more.
func (t *Table) end(r *Record, v Verdict, result []byte, now int64) {
	t.own(r, "")
	r.State, r.Verdict, r.Result, r.Job, r.At = Ended, v, result, nil, now
	t.rest(r)
}

func (r *Record) known() Reply {
	return Reply{Word: Known, Epoch: r.Epoch, Verdict: r.Verdict, Result: r.Result}
}

// Apply takes the next command in. The same commands in the same order give the same replies at every copy.
func (t *Table) Apply(c *Command) Reply {
	switch c.Kind {
	case Take:
		return t.take(c)
	case Seize:
		return t.seize(c)
	case Forget:
		return t.forget(c)
	}
	r := t.records[c.Key]
	switch {
	case r == nil:
		return Reply{Word: Fenced}
	case r.State == Ended && r.Epoch == c.Epoch && c.Kind == End && r.Verdict == c.Verdict && bytes.Equal(r.Result, c.Result):
		return Reply{Word: Granted, Epoch: r.Epoch} // the same command once more
	case r.State == Ended:
		return r.known()
	case r.Owner != c.Owner || r.Epoch != c.Epoch:
		return Reply{Word: Fenced, Epoch: r.Epoch}
	}
	switch c.Kind {
	case Intent:
		return t.intent(r, c)
	case End:
		t.end(r, c.Verdict, c.Result, c.Now)
		return Reply{Word: Granted, Epoch: r.Epoch}
	case Return:
		if c.Clean {
			r.First = 0
		}
		epoch := r.Epoch
		if t.own(r, ""); r.since() == 0 { // it never ran: as if it had never been taken
			delete(t.records, r.Key)
		} else {
			r.State, r.At = Loose, c.Now
			t.rest(r)
		}
		return Reply{Word: Granted, Epoch: epoch}
	}
	return Reply{Word: Barred}
}

func (t *Table) take(c *Command) Reply {
	r := t.records[c.Key]
	switch {
	case r == nil && len(t.records) >= c.Terms.Most:
		return Reply{Word: Full}
	case r == nil:
		r = &Record{Key: c.Key, Terms: c.Terms, Job: c.Job}
		t.records[c.Key] = r
		t.renew(r, c.Owner, c.Now)
		return Reply{Word: Granted, Epoch: r.Epoch}
	case r.State == Ended:
		return r.known()
	case r.State != Loose && r.Owner == c.Owner && r.Terms.Sender == c.Terms.Sender: // the same command once more
		return Reply{Word: Granted, Epoch: r.Epoch, Old: r.Old != 0}
	case r.State != Loose:
		return Reply{Word: Joined, Epoch: r.Epoch}
	}
	// Its client comes again. He waits longer now; what the class allows after the first send stays as it was.
	r.Terms.Until, r.Terms.Sender = max(r.Terms.Until, c.Terms.Until), c.Terms.Sender
	if r.Hopeless(c.Now) {
		t.end(r, Failed, nil, c.Now)
		return r.known()
	}
	r.Job = c.Job
	t.renew(r, c.Owner, c.Now)
	return Reply{Word: Granted, Epoch: r.Epoch, Old: true}
}

// intent is the gate for sends.
func (t *Table) intent(r *Record, c *Command) Reply {
	if c.Attempt == r.Attempt && r.State == Sent { // the same command once more
		return Reply{Word: Granted, Epoch: r.Epoch}
	}
	if c.Clean && c.Attempt > r.Attempt {
		r.First = 0
	}
	if c.Attempt <= r.Attempt || !r.May(c.Now, c.Place) { // one in between may have been given up on its way
		return Reply{Word: Barred, Epoch: r.Epoch}
	}
	if r.since() == 0 {
		r.Place = c.Place
	}
	if r.First == 0 {
		r.First = c.Now
	}
	r.Attempt, r.State, r.At = c.Attempt, Sent, c.Now
	return Reply{Word: Granted, Epoch: r.Epoch}
}

// overdue is how long after its client's deadline, in ms, a record may be open before anybody may end it.
const overdue = 5000

// seize moves what a dead owner holds to another, some at a time; without a name, what its owner has not ended in time.
func (t *Table) seize(c *Command) Reply {
	out := Reply{Word: Done}
	owners := []string{c.From}
	if c.From == "" {
		owners = t.Owners()
	}
	for _, o := range owners {
		for _, k := range t.Owned(o) {
			r := t.records[k]
			if c.From == "" && c.Now < r.Terms.Until+overdue {
				continue
			}
			if out.Moved >= c.Most {
				out.More = true
				return out
			}
			t.renew(r, c.Owner, c.Now)
			out.Moved++
		}
	}
	return out
}

// forget drops what is over and was kept for its time. What is loose stays as long: its history bars a second run.
func (t *Table) forget(c *Command) Reply {
	out := Reply{Word: Done}
	for len(t.dues) > 0 && t.dues[0].at <= c.Now {
		d := t.dues[0]
		r := t.records[d.key]
		over := r != nil && (r.State == Ended || r.State == Loose) && r.due() == d.at
		if over && out.Moved >= c.Most {
			out.More = true
			break
		}
		if t.dues.Pop(); over {
			delete(t.records, d.key)
			out.Moved++
		}
	}
	return out
}

// snapshot is the form in which a table is copied whole. Form 1 is the first.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Form    int
	Last    uint64
	Records []*Record
}

// Snapshot writes the whole table; equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Form: 1, Last: t.last}
	for _, k := range sorted(t.records) {
		s.Records = append(s.Records, t.records[k])
	}
	return cbor.Marshal(s)
}

// Restore puts a table in the place of what this one held. After an error it holds what it held before.
func (t *Table) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("lease: snapshot: %w", err)
	}
	if s.Form != 1 {
		return fmt.Errorf("lease: snapshot: form %d, and 1 is known", s.Form)
	}
	fresh := New()
	fresh.last = s.Last
	for _, r := range s.Records {
		if r == nil || r.State < Taken || r.State > Ended || fresh.records[r.Key] != nil {
			return errors.New("lease: snapshot: a record that cannot be")
		}
		fresh.records[r.Key] = r
		if r.State == Taken || r.State == Sent {
			fresh.own(r, r.Owner)
		} else {
			fresh.rest(r)
		}
	}
	*t = *fresh
	return nil
}

// Encode writes a command or a reply, Decode and DecodeReply read them.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }

// Decode reads a command.
func Decode(data []byte) (*Command, error) {
	c := new(Command)
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("lease: command: %w", err)
	}
	return c, nil
}

// DecodeReply reads a reply.
func DecodeReply(data []byte) (r Reply, err error) {
	if err = cbor.Unmarshal(data, &r); err != nil {
		err = fmt.Errorf("lease: reply: %w", err)
	}
	return r, err
}
