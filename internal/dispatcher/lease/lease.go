// The holder's side of a lease: what a dispatcher asks of the replicas for one job, and what it may do by their responses. No
// send goes out before its intent is committed, and no outcome is answered before it is. A rejection is no outcome: with a key
// a client may always come again.

package lease

// ActionKind tells what is to be done.
type ActionKind uint8

// The actions.
const (
	Propose    ActionKind = iota + 1 // propose Command until there is a response: give that to HandleResponse
	Admit                            // hand the job to the decision module
	Send                             // the attempt that was requested may be sent now, while SendTimeLeft is above 0
	SkipSend                         // it must not be sent: as if it had never been requested
	Answer                           // answer the client with Outcome and Result
	Reject                           // tell the client to come again
	AwaitOwner                       // another owner has the job: read its record now and then, and give it to HandleRecord
	Retry                            // hand the job to the decision module again, after a pause
	Closed                           // nothing more follows from this lease
)

// Action is one thing to be done.
type Action struct {
	Kind    ActionKind
	Command *Command
	Attempt int // Send, SkipSend: as it was given to RequestSend
	Outcome Outcome
	Result  []byte
}

// phase is how far a lease has come at its holder.
type phase uint8

const (
	acquiring phase = iota // its Acquire has no response yet
	running                // the decision module has it
	finishing              // its Finish or Release has no response yet
	waiting                // for the outcome under another owner
	closed
)

// Lease is one durable job at one dispatcher. It is not safe for concurrent use.
type Lease struct {
	Key   string
	Epoch uint64

	terms          Terms
	owner          string
	sendWindow     int64 // ms after its intent within which a send has to begin
	job            []byte
	phase          phase
	clientDone     bool // the client has its answer, or there is no client any more
	attempt        uint32
	pendingAttempt int   // the attempt whose intent has no response, as the caller counts; -1: none
	intendedAt     int64 // when the last one was proposed
	unprovenSends  int   // sends that may have run, those in flight among them
	mayHaveRun     bool  // an earlier epoch may have run it
	pending        *Command
}

// Begin asks the replicas for the lease on a job. A send has to begin within sendWindow milliseconds of its intent.
func Begin(key, owner string, terms Terms, sendWindow int64, job []byte, now int64) (*Lease, []Action) {
	l := &Lease{Key: key, owner: owner, terms: terms, sendWindow: sendWindow, job: job, pendingAttempt: -1}
	return l, l.propose(&Command{Kind: Acquire, Key: key, Owner: owner, Time: now, Terms: terms, Job: job})
}

// Resume goes on with a record that its owner took over from a failed one. No client waits for the answer here.
func Resume(r *Record, sendWindow, now int64) (*Lease, []Action) {
	l := &Lease{Key: r.Key, Epoch: r.Epoch, owner: r.Owner, terms: r.Terms, sendWindow: sendWindow, job: r.Job, pendingAttempt: -1,
		clientDone: true, phase: running, mayHaveRun: r.earliestSendAt() != 0, attempt: r.Attempt}
	if r.FirstSendAt != 0 { // it is this owner's own, from before: what has gone out under it may have run
		l.unprovenSends = 1
	}
	switch {
	case !r.IsBeyondRetry(now):
		return l, []Action{{Kind: Admit}}
	case !l.mayHaveRun:
		return l, l.release(now)
	}
	return l, l.finish(Failed, nil, now)
}

func (l *Lease) propose(c *Command) []Action {
	l.pending = c
	return []Action{{Kind: Propose, Command: c}}
}

func (l *Lease) finish(v Outcome, result []byte, now int64) []Action {
	l.phase = finishing
	return l.propose(&Command{Kind: Finish, Key: l.Key, Owner: l.owner, Epoch: l.Epoch, Time: now, Outcome: v, Result: result})
}

func (l *Lease) release(now int64) []Action {
	l.phase = finishing
	return l.propose(&Command{Kind: Release, Key: l.Key, Owner: l.owner, Epoch: l.Epoch, Time: now, NothingRan: l.unprovenSends == 0})
}

// Job returns what another owner needs to run the job.
func (l *Lease) Job() []byte { return l.job }

// HasNoClient tells whether no client waits here for the answer.
func (l *Lease) HasNoClient() bool { return l.clientDone }

// reject tells the client to come again.
func (l *Lease) reject(actions []Action) []Action {
	if !l.clientDone {
		l.clientDone = true
		actions = append(actions, Action{Kind: Reject})
	}
	return actions
}

// answer answers the client with the committed outcome.
func (l *Lease) answer(v Outcome, result []byte) (actions []Action) {
	if !l.clientDone {
		l.clientDone = true
		actions = append(actions, Action{Kind: Answer, Outcome: v, Result: result})
	}
	return l.close(actions)
}

func (l *Lease) close(actions []Action) []Action {
	if l.phase != closed {
		l.phase, l.pending = closed, nil
		actions = append(actions, Action{Kind: Closed})
	}
	return actions
}

// awaitOwner waits for the outcome under another owner. An attempt in flight at a worker goes on.
func (l *Lease) awaitOwner(actions []Action) []Action {
	if l.clientDone {
		return l.close(actions)
	}
	l.phase, l.pending = waiting, nil
	return append(actions, Action{Kind: AwaitOwner})
}

// skipSend ends the attempt that waits for its intent.
func (l *Lease) skipSend(actions []Action) []Action {
	if l.pendingAttempt >= 0 {
		actions = append(actions, Action{Kind: SkipSend, Attempt: l.pendingAttempt})
		l.pendingAttempt = -1
	}
	return actions
}

// HandleResponse takes the response to a command in. One to a command that is not pending any more changes nothing.
func (l *Lease) HandleResponse(c *Command, r Response) (actions []Action) {
	if c != l.pending || l.phase == closed {
		return nil
	}
	l.pending = nil
	switch r.Decision {
	case AlreadyFinished:
		return l.answer(r.Outcome, r.Result)
	case OwnedElsewhere:
		return l.awaitOwner(nil)
	case Fenced:
		return l.awaitOwner(l.skipSend(nil))
	case TableFull:
		return l.close(l.reject(nil))
	case Forbidden:
		return l.skipSend(nil)
	}
	switch c.Kind {
	case Acquire:
		l.Epoch, l.phase, l.mayHaveRun = r.Epoch, running, r.MayHaveRun
		return []Action{{Kind: Admit}}
	case IntendSend:
		l.attempt = c.Attempt
		l.unprovenSends++
		actions = []Action{{Kind: Send, Attempt: l.pendingAttempt}}
		l.pendingAttempt = -1
		return actions
	case Finish:
		return l.answer(c.Outcome, c.Result)
	}
	return l.close(nil)
}

// HandleUnknownOutcome gives a command up that may or may not have been applied.
func (l *Lease) HandleUnknownOutcome(c *Command) []Action {
	if c != l.pending || l.phase == closed {
		return nil
	}
	l.pending = nil
	actions := l.skipSend(nil)
	if c.Kind == IntendSend { // the module may try again, under another number: nothing has gone out, and this one may yet come in
		l.attempt = c.Attempt
		return actions
	}
	return l.close(l.reject(actions))
}

// RequestSend asks for the decision module's next attempt, to a worker of a place (a zone or a cell).
func (l *Lease) RequestSend(attempt int, place uint32, now int64) []Action {
	if l.phase != running || l.pending != nil {
		return []Action{{Kind: SkipSend, Attempt: attempt}}
	}
	l.pendingAttempt, l.intendedAt = attempt, now
	return l.propose(&Command{Kind: IntendSend, Key: l.Key, Owner: l.owner, Epoch: l.Epoch, Time: now, Attempt: l.attempt + 1, Place: place,
		NothingRan: l.unprovenSends == 0})
}

// SendTimeLeft returns for how long from now, in ms, the send whose intent is committed may still begin. An owner whose
// process was paused since then sends nothing.
func (l *Lease) SendTimeLeft(now int64) int64 {
	if l.phase != running {
		return 0
	}
	return max(l.intendedAt+l.sendWindow-now, 0)
}

// IsWaiting tells whether another owner has the job.
func (l *Lease) IsWaiting() bool { return l.phase == waiting }

// AttemptEnded notes that an attempt has ended, and whether it is proved never to have run.
func (l *Lease) AttemptEnded(never bool) {
	if never {
		l.unprovenSends--
	}
}

// Finish takes the decision module's final answer: Served with a worker's result, Failed, or 0 for a rejection.
func (l *Lease) Finish(v Outcome, result []byte, now int64) []Action {
	ran := l.mayHaveRun || l.unprovenSends > 0
	switch {
	case l.phase != running:
		return nil
	case v == Served || v == Failed && ran:
		return l.finish(v, result, now)
	case l.HasNoClient() && now < l.terms.Deadline-minRetryTimeMilliseconds:
		return []Action{{Kind: Retry}}
	case l.HasNoClient() && ran: // nobody will come for it with more time
		return l.finish(Failed, nil, now)
	}
	return append(l.reject(nil), l.release(now)...)
}

// minRetryTimeMilliseconds is the time, in ms, that is left at least when a job that was taken over is tried again.
const minRetryTimeMilliseconds = 300

// HandleRecord takes in what a read of the record gave; found is false where the replica that was asked has none.
func (l *Lease) HandleRecord(r Record, found bool) []Action {
	if l.phase == waiting && found && r.State == Ended {
		return l.answer(r.Outcome, r.Result)
	}
	return nil
}

// ClientTimedOut ends the wait of the client. What the replicas have to be told goes on.
func (l *Lease) ClientTimedOut() []Action {
	actions := l.reject(nil)
	if l.phase == waiting || l.phase == acquiring {
		return l.close(actions)
	}
	return actions
}

// ClientLeft notes that the client has left: there is nobody to be answered any more.
func (l *Lease) ClientLeft() []Action {
	l.clientDone = true
	if l.phase == waiting {
		return l.close(nil)
	}
	return nil
}
