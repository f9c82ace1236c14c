// The owner's side of a lease: the commands that a dispatcher proposes for one job, and what it may do after their
// responses. It sends an attempt only after its intent is committed, and answers the client only after the outcome is
// committed. A rejection is not an outcome: the client may always retry under the same key.

package lease

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions that a lease returns to its caller.
const (
	Propose    ActionKind = iota + 1 // propose Command; pass its result to HandleResponse or HandleUnknownOutcome
	Admit                            // submit the job to the decision module
	Send                             // send the requested attempt while SendTimeLeft is above 0
	SkipSend                         // end the requested attempt without sending it
	Answer                           // answer the client with Outcome and Result
	Reject                           // reject the request; the client may retry
	AwaitOwner                       // another owner has the job: poll its record and pass it to HandleRecord
	Retry                            // submit the job to the decision module again, after a pause
	Closed                           // the lease is closed: it returns no further actions
)

// Action is a step that the caller has to carry out. Several are carried out in order.
type Action struct {
	Kind    ActionKind
	Command *Command // Propose
	Attempt int      // Send, SkipSend: the number passed to RequestSend
	Outcome Outcome  // Answer, with Result
	Result  []byte
}

// phase is the state of a lease at its owner.
type phase uint8

const (
	acquiring phase = iota // Acquire is proposed
	running                // the decision module has the job
	finishing              // Finish or Release is proposed
	waiting                // another owner has the job; its outcome is polled
	closed
)

// Lease is the state of one durable job at one dispatcher. It is not safe for concurrent use.
type Lease struct {
	Key   string
	Epoch uint64

	terms          Terms
	owner          string
	sendWindow     int64 // ms after an intent is proposed within which its send has to begin
	job            []byte
	phase          phase
	clientDone     bool     // the client has its answer or has left, or there never was one
	attempt        uint32   // number of the last attempt whose intent may be committed
	pendingAttempt int      // the attempt whose intent is proposed, in the numbers of RequestSend; -1: none
	intendedAt     int64    // when the last intent was proposed, Unix ms
	unprovenSends  int      // sends that may have run, those in flight included
	mayHaveRun     bool     // a worker may have run the job in an earlier epoch
	pending        *Command // the proposed command that has no response; nil: none
}

// Begin returns a new lease on a job, and the action that proposes its Acquire. A send has to begin within sendWindow
// milliseconds after its intent is proposed. now is in Unix milliseconds, here and in all methods.
func Begin(key, owner string, terms Terms, sendWindow int64, job []byte, now int64) (*Lease, []Action) {
	l := &Lease{Key: key, owner: owner, terms: terms, sendWindow: sendWindow, job: job, pendingAttempt: -1}
	return l, l.propose(&Command{Kind: Acquire, Key: key, Owner: owner, Time: now, Terms: terms, Job: job})
}

// Resume returns the lease on a record that its owner took over from a failed one. It has no client. A job that may not
// be sent any more is released if it cannot have run, and finished as Failed otherwise.
func Resume(r *Record, sendWindow, now int64) (*Lease, []Action) {
	l := &Lease{Key: r.Key, Epoch: r.Epoch, owner: r.Owner, terms: r.Terms, sendWindow: sendWindow, job: r.Job, pendingAttempt: -1,
		clientDone: true, phase: running, mayHaveRun: r.earliestSendAt() != 0, attempt: r.Attempt}
	if r.FirstSendAt != 0 { // this owner has sent in this epoch before: that send may have run
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

// propose makes a command the pending one.
func (l *Lease) propose(c *Command) []Action {
	l.pending = c
	return []Action{{Kind: Propose, Command: c}}
}

// finish proposes the outcome.
func (l *Lease) finish(outcome Outcome, result []byte, now int64) []Action {
	l.phase = finishing
	return l.propose(&Command{Kind: Finish, Key: l.Key, Owner: l.owner, Epoch: l.Epoch, Time: now, Outcome: outcome, Result: result})
}

// release proposes to release the lease without an outcome.
func (l *Lease) release(now int64) []Action {
	l.phase = finishing
	return l.propose(&Command{Kind: Release, Key: l.Key, Owner: l.owner, Epoch: l.Epoch, Time: now, NothingRan: l.unprovenSends == 0})
}

// Job returns the encoded job.
func (l *Lease) Job() []byte { return l.job }

// HasNoClient reports whether no client waits for the answer: it was answered, it disconnected, or the job never
// had a client at this dispatcher.
func (l *Lease) HasNoClient() bool { return l.clientDone }

// reject adds a rejection to the actions if a client waits.
func (l *Lease) reject(actions []Action) []Action {
	if !l.clientDone {
		l.clientDone = true
		actions = append(actions, Action{Kind: Reject})
	}
	return actions
}

// answer returns the actions that answer the client, if one waits, with the committed outcome, and closes the lease.
func (l *Lease) answer(outcome Outcome, result []byte) (actions []Action) {
	if !l.clientDone {
		l.clientDone = true
		actions = append(actions, Action{Kind: Answer, Outcome: outcome, Result: result})
	}
	return l.close(actions)
}

// close adds Closed to the actions, once.
func (l *Lease) close(actions []Action) []Action {
	if l.phase != closed {
		l.phase, l.pending = closed, nil
		actions = append(actions, Action{Kind: Closed})
	}
	return actions
}

// awaitOwner makes the client, if there is one, wait for the outcome that another owner commits. Attempts in flight at
// workers continue.
func (l *Lease) awaitOwner(actions []Action) []Action {
	if l.clientDone {
		return l.close(actions)
	}
	l.phase, l.pending = waiting, nil
	return append(actions, Action{Kind: AwaitOwner})
}

// skipSend ends the attempt that waits for its intent, if there is one.
func (l *Lease) skipSend(actions []Action) []Action {
	if l.pendingAttempt >= 0 {
		actions = append(actions, Action{Kind: SkipSend, Attempt: l.pendingAttempt})
		l.pendingAttempt = -1
	}
	return actions
}

// HandleResponse handles the response to a command. It ignores responses to commands that are no longer pending.
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

// HandleUnknownOutcome gives up a pending command that may or may not have been applied, and may still be.
func (l *Lease) HandleUnknownOutcome(c *Command) []Action {
	if c != l.pending || l.phase == closed {
		return nil
	}
	l.pending = nil
	actions := l.skipSend(nil)
	if c.Kind == IntendSend {
		// Nothing was sent, so the decision module may try again. The next intent needs another number, because this
		// one may still be applied.
		l.attempt = c.Attempt
		return actions
	}
	return l.close(l.reject(actions))
}

// RequestSend proposes the intent of the decision module's next attempt, to a worker of a place (a zone or a cell).
// While another command is pending, or the lease is not running, it skips the attempt.
func (l *Lease) RequestSend(attempt int, place uint32, now int64) []Action {
	if l.phase != running || l.pending != nil {
		return []Action{{Kind: SkipSend, Attempt: attempt}}
	}
	l.pendingAttempt, l.intendedAt = attempt, now
	return l.propose(&Command{Kind: IntendSend, Key: l.Key, Owner: l.owner, Epoch: l.Epoch, Time: now, Attempt: l.attempt + 1, Place: place,
		NothingRan: l.unprovenSends == 0})
}

// SendTimeLeft returns the time, in ms from now, within which the send with the committed intent must begin. After a
// pause of its process longer than the send window, an owner sends nothing.
func (l *Lease) SendTimeLeft(now int64) int64 {
	if l.phase != running {
		return 0
	}
	return max(l.intendedAt+l.sendWindow-now, 0)
}

// IsWaiting reports whether the client waits for the outcome that another owner commits.
func (l *Lease) IsWaiting() bool { return l.phase == waiting }

// AttemptEnded records the end of a granted attempt. neverRan means that it provably did not run at any worker.
func (l *Lease) AttemptEnded(neverRan bool) {
	if neverRan {
		l.unprovenSends--
	}
}

// Finish handles the decision module's final answer: Served with a worker's result, Failed, or 0 for a rejection.
// Without a client, a job that did not succeed is retried while enough time is left.
func (l *Lease) Finish(outcome Outcome, result []byte, now int64) []Action {
	jobMayHaveRun := l.mayHaveRun || l.unprovenSends > 0
	switch {
	case l.phase != running:
		return nil
	case outcome == Served || outcome == Failed && jobMayHaveRun:
		return l.finish(outcome, result, now)
	case l.HasNoClient() && now < l.terms.Deadline-minRetryTimeMilliseconds:
		return []Action{{Kind: Retry}}
	case l.HasNoClient() && jobMayHaveRun: // no client will retry it with a later deadline
		return l.finish(Failed, nil, now)
	}
	return append(l.reject(nil), l.release(now)...)
}

// minRetryTimeMilliseconds is the least time before the deadline, in ms, at which a job without a client is retried.
const minRetryTimeMilliseconds = 300

// HandleRecord handles a record that was read for a waiting client. found is false if the queried replica has no
// record.
func (l *Lease) HandleRecord(r Record, found bool) []Action {
	if l.phase == waiting && found && r.State == Ended {
		return l.answer(r.Outcome, r.Result)
	}
	return nil
}

// ClientTimedOut rejects a client whose deadline has passed. A pending Finish or Release is still proposed.
func (l *Lease) ClientTimedOut() []Action {
	actions := l.reject(nil)
	if l.phase == waiting || l.phase == acquiring {
		return l.close(actions)
	}
	return actions
}

// ClientLeft records that the client has left. A running job continues without a client; a waiting lease closes.
func (l *Lease) ClientLeft() []Action {
	l.clientDone = true
	if l.phase == waiting {
		return l.close(nil)
	}
	return nil
}
