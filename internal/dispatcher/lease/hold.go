// A Hold is one job at the dispatcher that takes it: what it asks of the copies, and
// what it may do by their word. This file owns the order of the two: no send before its
// intent stands, no outcome told before it stands, nothing told twice. It must never
// let a client's answer come out of anything but the copies' word, but for a refusal,
// which is no outcome: with a key it is always harmless to come again.

package lease

// ActKind tells what is to be done.
type ActKind uint8

// The acts.
const (
	Propose ActKind = iota + 1 // Command, until there is a reply: give that to Replied
	Admit                      // hand the job to the decision module
	Send                       // the attempt that asked may go out now, if MaySend still says so then
	Moot                       // it must not: as if it had never been tried
	Tell                       // the client's answer: Verdict and Result
	Refuse                     // the client's answer: come again
	Wait                       // somebody else has the job: look its record up now and then, and give it to Found
	Retry                      // hand it to the module again, after a pause
	Over                       // nothing more comes of this hold
)

// Act is one thing to be done.
type Act struct {
	Kind    ActKind
	Command *Command
	Attempt int // Send, Moot: as it was given
	Verdict Verdict
	Result  []byte
}

type phase uint8

const (
	asking  phase = iota // its Take has no reply
	running              // the module has it
	ending               // its End or Return has no reply
	waiting              // for what another owner makes of it
	over
)

// Hold is one job at one dispatcher. It is not safe for concurrent use.
type Hold struct {
	Key   string
	Epoch uint64

	terms   Terms
	owner   string
	fresh   int64 // ms after its intent within which a send has to begin
	job     []byte
	phase   phase
	told    bool // the client has his answer, or there is none any more
	attempt uint32
	asks    int   // the attempt whose intent has no reply, as the caller counts; -1: none
	intent  int64 // when the last one was proposed
	doubt   int   // sends that are not proved never to have run, those that are out among them
	old     bool  // an epoch before may have run it
	want    *Command
}

// Begin takes a job for keeps, if the copies let it. Fresh is in milliseconds.
func Begin(key, owner string, terms Terms, fresh int64, job []byte, now int64) (*Hold, []Act) {
	h := &Hold{Key: key, owner: owner, terms: terms, fresh: fresh, job: job, asks: -1}
	return h, h.propose(&Command{Kind: Take, Key: key, Owner: owner, Now: now, Terms: terms, Job: job})
}

// Inherit goes on with a record that its owner has got from one who is gone. No client waits here.
func Inherit(r *Record, fresh, now int64) (*Hold, []Act) {
	h := &Hold{Key: r.Key, Epoch: r.Epoch, owner: r.Owner, terms: r.Terms, fresh: fresh, job: r.Job, asks: -1,
		told: true, phase: running, old: r.since() != 0, attempt: r.Attempt}
	if r.First != 0 { // it is this owner's own, from before: what has gone out under it may have run
		h.doubt = 1
	}
	switch {
	case !r.Hopeless(now):
		return h, []Act{{Kind: Admit}}
	case !h.old:
		return h, h.back(now)
	}
	return h, h.finish(Failed, nil, now)
}

func (h *Hold) propose(c *Command) []Act {
	h.want = c
	return []Act{{Kind: Propose, Command: c}}
}

func (h *Hold) finish(v Verdict, result []byte, now int64) []Act {
	h.phase = ending
	return h.propose(&Command{Kind: End, Key: h.Key, Owner: h.owner, Epoch: h.Epoch, Now: now, Verdict: v, Result: result})
}

func (h *Hold) back(now int64) []Act {
	h.phase = ending
	return h.propose(&Command{Kind: Return, Key: h.Key, Owner: h.owner, Epoch: h.Epoch, Now: now, Clean: h.doubt == 0})
}

// Job is what a successor needs to run it.
func (h *Hold) Job() []byte { return h.job }

// Heir tells whether nobody waits here for the answer.
func (h *Hold) Heir() bool { return h.told }

// refuse answers the client that he may come again.
func (h *Hold) refuse(acts []Act) []Act {
	if !h.told {
		h.told = true
		acts = append(acts, Act{Kind: Refuse})
	}
	return acts
}

// known answers the client with what stands on the copies.
func (h *Hold) known(v Verdict, result []byte) (acts []Act) {
	if !h.told {
		h.told = true
		acts = append(acts, Act{Kind: Tell, Verdict: v, Result: result})
	}
	return h.leave(acts)
}

func (h *Hold) leave(acts []Act) []Act {
	if h.phase != over {
		h.phase, h.want = over, nil
		acts = append(acts, Act{Kind: Over})
	}
	return acts
}

// wait goes over to waiting for another owner's outcome. What is out at a worker goes on there.
func (h *Hold) wait(acts []Act) []Act {
	if h.told {
		return h.leave(acts)
	}
	h.phase, h.want = waiting, nil
	return append(acts, Act{Kind: Wait})
}

// moot ends the attempt that waits for its intent.
func (h *Hold) moot(acts []Act) []Act {
	if h.asks >= 0 {
		acts = append(acts, Act{Kind: Moot, Attempt: h.asks})
		h.asks = -1
	}
	return acts
}

// Replied takes the reply to a command in; one that is wanted no more changes nothing.
func (h *Hold) Replied(c *Command, r Reply) (acts []Act) {
	if c != h.want || h.phase == over {
		return nil
	}
	h.want = nil
	switch r.Word {
	case Known:
		return h.known(r.Verdict, r.Result)
	case Joined:
		return h.wait(nil)
	case Fenced:
		return h.wait(h.moot(nil))
	case Full:
		return h.leave(h.refuse(nil))
	case Barred:
		return h.moot(nil)
	}
	switch c.Kind {
	case Take:
		h.Epoch, h.phase, h.old = r.Epoch, running, r.Old
		return []Act{{Kind: Admit}}
	case Intent:
		h.attempt = c.Attempt
		h.doubt++
		acts = []Act{{Kind: Send, Attempt: h.asks}}
		h.asks = -1
		return acts
	case End:
		return h.known(c.Verdict, c.Result)
	}
	return h.leave(nil)
}

// Unsure is told that a command may or may not have been taken in, and that it is given up.
func (h *Hold) Unsure(c *Command) []Act {
	if c != h.want || h.phase == over {
		return nil
	}
	h.want = nil
	acts := h.moot(nil)
	if c.Kind == Intent { // the module may try again, under another number: nothing has gone out, and this one may yet come in
		h.attempt = c.Attempt
		return acts
	}
	return h.leave(h.refuse(acts))
}

// Ask is the module's wish to send an attempt to a worker of a place.
func (h *Hold) Ask(attempt int, place uint32, now int64) []Act {
	if h.phase != running || h.want != nil {
		return []Act{{Kind: Moot, Attempt: attempt}}
	}
	h.asks, h.intent = attempt, now
	return h.propose(&Command{Kind: Intent, Key: h.Key, Owner: h.owner, Epoch: h.Epoch, Now: now, Attempt: h.attempt + 1, Place: place,
		Clean: h.doubt == 0})
}

// Left is how long from now, in ms, the send whose intent stands may still begin: an owner that stood still since then
// sends nothing.
func (h *Hold) Left(now int64) int64 {
	if h.phase != running {
		return 0
	}
	return max(h.intent+h.fresh-now, 0)
}

// Waits tells whether another owner has the job.
func (h *Hold) Waits() bool { return h.phase == waiting }

// Ended tells that an attempt that was sent has ended, and whether it is proved never to have run.
func (h *Hold) Ended(never bool) {
	if never {
		h.doubt--
	}
}

// Finish is the module's final word: Served with what a worker gave, Failed, or 0 for a refusal.
func (h *Hold) Finish(v Verdict, result []byte, now int64) []Act {
	ran := h.old || h.doubt > 0
	switch {
	case h.phase != running:
		return nil
	case v == Served || v == Failed && ran:
		return h.finish(v, result, now)
	case h.Heir() && now < h.terms.Until-pause:
		return []Act{{Kind: Retry}}
	case h.Heir() && ran: // nobody will come for it with more time
		return h.finish(Failed, nil, now)
	}
	return append(h.refuse(nil), h.back(now)...)
}

// pause is the time, in ms, that is left at least when an heir's job is tried again.
const pause = 300

// Found is what a look at the record gave; found is false where the table that was asked has none.
func (h *Hold) Found(r Record, found bool) []Act {
	if h.phase == waiting && found && r.State == Ended {
		return h.known(r.Verdict, r.Result)
	}
	return nil
}

// Expire tells that the client waits no longer than this. What the copies have to be told goes on.
func (h *Hold) Expire() []Act {
	acts := h.refuse(nil)
	if h.phase == waiting || h.phase == asking {
		return h.leave(acts)
	}
	return acts
}

// Leave tells that the client has gone: nobody is told anything any more.
func (h *Hold) Leave() []Act {
	h.told = true
	if h.phase == waiting {
		return h.leave(nil)
	}
	return nil
}
