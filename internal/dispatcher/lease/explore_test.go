// A model checker for one durable job. It explores all orders of commands, responses, sends, crashes, pauses, takeovers
// and a client's second attempt, with lost and duplicated commands, in a small model with a clock of a few ticks. It
// checks the invariants in every state. With an injected fault in the use of the lease package it has to find a
// violation.

package lease_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/cespare/xxhash/v2"

	"gladepick/internal/dispatcher/lease"
)

const (
	retryWindow    = 2 // ticks after the first send during which repeats are granted
	sendWindow     = 1 // ticks after its intent within which a send begins
	dedupWindow    = 3 // ticks during which workers drop a repeat of a job that they ran
	clientDeadline = 5
	startTime      = 10 // not 0, which means no time in records
	endTime        = startTime + 5
)

// injectedFault is a fault in the use of the lease package.
type injectedFault int

const (
	noFault             injectedFault = iota
	answersBeforeCommit               // a client gets a worker's result before the outcome is committed
	sendsAfterFencing                 // a send begins although another owner has the job
	sendsStaleIntent                  // a send begins any time after its intent
	retriesTooLate                    // the replicas grant repeats after the dedup window of the workers
	sendsBeforeIntent                 // a send begins before its intent is committed
)

// commandInFlight is a proposed command that is not applied yet.
type commandInFlight struct {
	from    int // index of the lease
	command *lease.Command
}

// responseInFlight is a response, or a worker's result in reply.Result, that its lease has not received yet.
type responseInFlight struct {
	to      int // index of the lease
	command *lease.Command
	reply   lease.Response
}

// searchNode is a state with the step that led to it.
type searchNode struct {
	*state
	from  *searchNode
	step  string
	depth int
}

// ownerName returns the name of a dispatcher in the table.
func ownerName(d int) string { return string(rune('A' + d)) }

// testLease is a lease at a dispatcher, with the attempts of its job.
type testLease struct {
	handle           *lease.Lease
	dispatcher       int
	hasClient        bool
	isAdmitted       bool          // the decision module has the job
	attemptsInFlight int           // attempts at workers whose results have not arrived
	grantedSends     []grantedSend // attempts that may be sent
	place            uint32
	attempts         int
	result           string // of a worker
}

// grantedSend is an attempt that may be sent.
type grantedSend struct {
	attempt int
	place   uint32 // of the worker; workers of one place share their dedup window
}

// state is a state of the model: the table, the leases and all messages in flight.
type state struct {
	table     *lease.Table
	now       int64
	leases    []testLease
	crashed   [3]bool
	paused    [3]bool
	commands  []commandInFlight
	responses []responseInFlight
	results   []responseInFlight // worker results in flight: to, reply.Result
	effects   int                // number of times that the job took effect at workers
	lastRun   [2]int64           // by place, the tick at which the job last ran; -1: never
	answered  []lease.Response   // the distinct answers that clients got
	budget    [6]int             // remaining crashes, pauses, losses, duplicates, second attempts, takeovers
}

func (s *state) clone() *state {
	c := *s
	c.table = s.table.Clone()
	c.leases = slices.Clone(s.leases)
	for i := range c.leases {
		c.leases[i].handle = c.leases[i].handle.Clone()
		c.leases[i].grantedSends = slices.Clone(c.leases[i].grantedSends)
	}
	c.commands, c.responses, c.results, c.answered = slices.Clone(s.commands), slices.Clone(s.responses), slices.Clone(s.results), slices.Clone(s.answered)
	return &c
}

// key returns a hash of the state.
func (s *state) key() uint64 {
	h := xxhash.New()
	r, _ := s.table.Get("k")
	fmt.Fprint(h, r)
	fmt.Fprint(h, s.now, s.crashed, s.paused, s.effects, s.lastRun, s.answered, s.budget)
	for _, l := range s.leases {
		fmt.Fprint(h, l.handle.Shape(), l.dispatcher, l.hasClient, l.isAdmitted, l.attemptsInFlight, l.grantedSends, l.place, l.attempts, l.result)
	}
	for _, f := range s.commands {
		fmt.Fprint(h, f.from, *f.command)
	}
	for _, a := range slices.Concat(s.responses, s.results) {
		fmt.Fprint(h, a.to, a.command, a.reply)
	}
	return h.Sum64()
}

// explorer searches the states that can follow from an initial state.
type explorer struct {
	places     int
	fault      injectedFault
	seen       map[uint64]bool
	deepest    int
	violation  string
	isComplete bool
}

// carryOut carries out the actions of a lease.
func (e *explorer) carryOut(s *state, i int, actions []lease.Action) {
	target := &s.leases[i]
	for _, action := range actions {
		switch action.Kind {
		case lease.Propose:
			s.commands = append(s.commands, commandInFlight{i, action.Command})
		case lease.Admit, lease.Retry:
			target.isAdmitted = true
		case lease.Send:
			if e.fault != sendsBeforeIntent {
				target.grantedSends = append(target.grantedSends, grantedSend{action.Attempt, target.place})
			}
		case lease.Answer:
			e.recordAnswer(s, lease.Response{Outcome: action.Outcome, Result: action.Result})
		case lease.Closed, lease.AwaitOwner:
			if target.isAdmitted = false; e.fault != sendsAfterFencing {
				target.grantedSends = nil
			}
		}
	}
}

func (e *explorer) recordAnswer(s *state, r lease.Response) {
	if !slices.ContainsFunc(s.answered, func(o lease.Response) bool { return o.Outcome == r.Outcome && string(o.Result) == string(r.Result) }) {
		s.answered = append(s.answered, r)
	}
}

func terms(now int64, sender uint64, fault injectedFault) lease.Terms {
	t := lease.Terms{RetryWindow: retryWindow, SamePlaceOnly: true, Deadline: min(now+clientDeadline, endTime), Retention: 100, MaxRecords: 10, RequestID: sender}
	if fault == retriesTooLate {
		t.RetryWindow = 100
	}
	return t
}

// successors returns every state that can follow, and the step that leads to it.
func (e *explorer) successors(s *state) (out []*state, steps []string) {
	add := func(name string, do func(next *state)) {
		next := s.clone()
		do(next)
		out, steps = append(out, next), append(steps, name)
	}
	runs := func(d int) bool { return !s.crashed[d] && !s.paused[d] }
	if s.now < endTime {
		add("tick", func(next *state) { next.now++ })
	}
	for i, inFlight := range s.commands {
		apply := func(name string, received bool) {
			add(fmt.Sprintf("apply %d of %d%s", inFlight.command.Kind, inFlight.from, name), func(next *state) {
				next.commands = slices.Delete(next.commands, i, i+1)
				r := next.table.Apply(inFlight.command)
				if d := next.leases[inFlight.from].dispatcher; received && runs(d) { // the response arrives at once
					e.carryOut(next, inFlight.from, next.leases[inFlight.from].handle.HandleResponse(inFlight.command, r))
				} else if !next.crashed[d] {
					next.responses = append(next.responses, responseInFlight{inFlight.from, inFlight.command, r})
				}
			})
		}
		apply("", true)
		if d := s.leases[inFlight.from].dispatcher; d < 2 && runs(d) && s.budget[0]+s.budget[1] > 0 {
			apply(", and the response is delayed", false)
		}
		if s.budget[2] > 0 {
			add(fmt.Sprintf("lose %d of %d", inFlight.command.Kind, inFlight.from), func(next *state) {
				next.budget[2]--
				next.commands = slices.Delete(next.commands, i, i+1)
				e.carryOut(next, inFlight.from, next.leases[inFlight.from].handle.HandleUnknownOutcome(inFlight.command))
			})
			add(fmt.Sprintf("give %d of %d up, and apply it later", inFlight.command.Kind, inFlight.from), func(next *state) {
				next.budget[2]--
				e.carryOut(next, inFlight.from, next.leases[inFlight.from].handle.HandleUnknownOutcome(inFlight.command))
			})
		}
		if s.budget[3] > 0 {
			add(fmt.Sprintf("duplicate %d of %d", inFlight.command.Kind, inFlight.from), func(next *state) {
				next.budget[3]--
				next.commands = append(next.commands, inFlight)
			})
		}
	}
	for i, arrival := range s.responses {
		if current := s.leases[arrival.to]; runs(current.dispatcher) {
			add(fmt.Sprintf("%d receives %v", arrival.to, arrival.reply.Decision), func(next *state) {
				next.responses = slices.Delete(next.responses, i, i+1)
				e.carryOut(next, arrival.to, next.leases[arrival.to].handle.HandleResponse(arrival.command, arrival.reply))
			})
		}
	}
	for i, arrival := range s.results {
		if current := s.leases[arrival.to]; runs(current.dispatcher) {
			add(fmt.Sprintf("%d receives a result", arrival.to), func(next *state) {
				next.results = slices.Delete(next.results, i, i+1)
				updated := &next.leases[arrival.to]
				if updated.attemptsInFlight--; updated.isAdmitted {
					if e.fault == answersBeforeCommit && updated.hasClient {
						e.recordAnswer(next, lease.Response{Outcome: lease.Served, Result: arrival.reply.Result})
					}
					updated.isAdmitted = false
					e.carryOut(next, arrival.to, updated.handle.Finish(lease.Served, arrival.reply.Result, next.now))
				}
			})
		}
	}
	for i := range s.leases {
		current := &s.leases[i]
		if !runs(current.dispatcher) {
			continue
		}
		if current.isAdmitted && current.attemptsInFlight == 0 && len(current.grantedSends) == 0 && current.attempts < 2 {
			for place := range uint32(e.places) {
				add(fmt.Sprintf("%d requests a send to place %d", i, place), func(next *state) {
					updated := &next.leases[i]
					updated.attempts, updated.place = updated.attempts+1, place
					e.carryOut(next, i, updated.handle.RequestSend(updated.attempts-1, place, next.now))
					if e.fault == sendsBeforeIntent {
						updated.grantedSends = append(updated.grantedSends, grantedSend{updated.attempts - 1, place})
					}
				})
			}
		}
		if len(current.grantedSends) > 0 {
			send := func(name string, ran, back bool) {
				add(fmt.Sprintf("%d sends%s", i, name), func(next *state) {
					updated := &next.leases[i]
					target := updated.grantedSends[0].place
					updated.grantedSends = updated.grantedSends[1:]
					if updated.handle.SendTimeLeft(next.now) <= 0 && e.fault != sendsStaleIntent && e.fault != sendsAfterFencing && e.fault != sendsBeforeIntent {
						updated.handle.AttemptEnded(true)
						return
					}
					if ran {
						if next.lastRun[target] < 0 || next.now >= next.lastRun[target]+dedupWindow {
							next.effects++
							next.lastRun[target] = next.now
						}
					}
					if back {
						updated.attemptsInFlight++
						next.results = append(next.results, responseInFlight{to: i, reply: lease.Response{Result: fmt.Append(nil, "effect ", next.effects)}})
					} else {
						updated.handle.AttemptEnded(false) // the connection breaks: the job may have run
					}
				})
			}
			send("", true, true)
			send(", and the answer is lost", true, false)
			send(", and the request is lost", false, false)
		}
		if current.isAdmitted && current.attemptsInFlight == 0 && len(current.grantedSends) == 0 && current.attempts > 0 {
			add(fmt.Sprintf("%d ends without a result", i), func(next *state) {
				next.leases[i].isAdmitted = false
				e.carryOut(next, i, next.leases[i].handle.Finish(lease.Failed, nil, next.now))
			})
		}
		if current.handle.IsWaiting() {
			if r, ok := s.table.Get("k"); ok && r.State == lease.Ended {
				add(fmt.Sprintf("%d reads the outcome", i), func(next *state) { e.carryOut(next, i, next.leases[i].handle.HandleRecord(r, true)) })
			}
		}
	}
	for d := range s.crashed {
		if d < 2 && !s.crashed[d] && s.budget[0] > 0 {
			add("crash "+ownerName(d), func(next *state) {
				next.budget[0]--
				next.crashed[d] = true
				next.responses = slices.DeleteFunc(next.responses, func(arrival responseInFlight) bool { return next.leases[arrival.to].dispatcher == d })
				next.results = slices.DeleteFunc(next.results, func(arrival responseInFlight) bool { return next.leases[arrival.to].dispatcher == d })
			})
		}
		if d < 2 && !s.crashed[d] && !s.paused[d] && s.budget[1] > 0 {
			add("pause "+ownerName(d), func(next *state) { next.budget[1]--; next.paused[d] = true })
		}
		if s.paused[d] && !s.crashed[d] {
			add("resume "+ownerName(d), func(next *state) { next.paused[d] = false })
		}
	}
	// A crashed or paused dispatcher may be considered failed; another one takes over its leases.
	for d := range 2 {
		if (s.crashed[d] || s.paused[d]) && s.budget[5] > 0 && len(s.table.Owned(ownerName(d))) > 0 {
			to := 2
			add("take over from "+ownerName(d), func(next *state) {
				next.budget[5]--
				next.table.Apply(&lease.Command{Kind: lease.TakeOver, PreviousOwner: ownerName(d), Owner: ownerName(to), Time: next.now, Limit: 5})
				r, _ := next.table.Get("k")
				newLease, actions := lease.Resume(&r, sendWindow, next.now)
				next.leases = append(next.leases, testLease{handle: newLease, dispatcher: to})
				e.carryOut(next, len(next.leases)-1, actions)
			})
		}
	}
	if s.budget[4] > 0 && runs(1) && s.now < endTime {
		add("the client retries at B", func(next *state) {
			next.budget[4]--
			newLease, actions := lease.Begin("k", ownerName(1), terms(next.now, 2, e.fault), sendWindow, []byte("job"), next.now)
			next.leases = append(next.leases, testLease{handle: newLease, dispatcher: 1, hasClient: true})
			e.carryOut(next, len(next.leases)-1, actions)
		})
	}
	return out, steps
}

// check returns the invariant that a state violates, or an empty string if it violates none.
func (e *explorer) check(s *state) string {
	if s.effects > 1 {
		return "the job took effect twice"
	}
	if len(s.answered) > 1 {
		return fmt.Sprintf("clients got the answers %v and %v", s.answered[0], s.answered[1])
	}
	if r, ok := s.table.Get("k"); len(s.answered) == 1 && (!ok || r.State != lease.Ended || r.Outcome != s.answered[0].Outcome) {
		return "a client got an answer that is not the committed outcome"
	}
	return ""
}

// initialState returns the state after a client's request at dispatcher A.
func (e *explorer) initialState(budget [6]int) *state {
	s := &state{table: lease.New(), now: startTime, lastRun: [2]int64{-1, -1}, budget: budget}
	newLease, actions := lease.Begin("k", ownerName(0), terms(startTime, 1, e.fault), sendWindow, []byte("job"), startTime)
	s.leases = append(s.leases, testLease{handle: newLease, dispatcher: 0, hasClient: true})
	e.carryOut(s, 0, actions)
	return s
}

// explore searches at most maxStates states breadth-first, so that it finds the shortest path to a violation.
func explore(fault injectedFault, budget [6]int, places, maxStates int) *explorer {
	e := &explorer{places: places, fault: fault, seen: map[uint64]bool{}, isComplete: true}
	queue := []*searchNode{{state: e.initialState(budget)}}
	for len(queue) > 0 && e.violation == "" {
		current := queue[0]
		queue = queue[1:]
		if brokenInvariant := e.check(current.state); brokenInvariant != "" {
			var path []string
			for node := current; node != nil; node = node.from {
				path = append(path, node.step)
			}
			slices.Reverse(path)
			e.violation = fmt.Sprintf("%s after %q", brokenInvariant, path)
		}
		e.deepest = current.depth
		next, steps := e.successors(current.state)
		for i, n := range next {
			k := n.key()
			if e.seen[k] {
				continue
			} else if len(e.seen) >= maxStates {
				e.isComplete = false
				break
			}
			e.seen[k] = true
			queue = append(queue, &searchNode{n, current, steps[i], current.depth + 1})
		}
	}
	return e
}

// randomWalk follows one random path of at most 200 steps.
func randomWalk(fault injectedFault, budget [6]int, seed uint64) string {
	e := &explorer{places: 2, fault: fault}
	rng := rand.New(rand.NewPCG(seed, 1))
	s, path := e.initialState(budget), []string(nil)
	for range 200 {
		if brokenInvariant := e.check(s); brokenInvariant != "" {
			return fmt.Sprintf("walk %d: %s after %q", seed, brokenInvariant, path)
		}
		next, steps := e.successors(s)
		if len(next) == 0 {
			break
		}
		i := rng.IntN(len(next))
		s, path = next[i], append(path, steps[i])
	}
	return ""
}

// budgets are the maximum numbers of crashes, pauses, losses, duplicates, second attempts and takeovers.
var budgets = map[string][6]int{
	"a crash and a takeover":                {1, 0, 0, 0, 0, 1},
	"a pause, a takeover and a resumption":  {0, 1, 0, 0, 0, 1},
	"a loss, a duplicate, a second attempt": {0, 0, 1, 1, 1, 0},
	"two losses, a crash, a takeover":       {1, 0, 2, 0, 0, 1},
	"a crash, a second attempt, takeovers":  {1, 0, 0, 0, 1, 2},
}

// Guards against an order of events in which a job takes effect twice or clients get contradicting answers.
func TestSearchOfAllOrdersFindsNoViolation(t *testing.T) {
	maxStates := 12_000
	if v, err := strconv.Atoi(os.Getenv("LEASE_STATES")); err == nil {
		maxStates = v
	}
	for name, budget := range budgets {
		places := 1
		if budget[5] > 0 && budget[4] == 0 { // with takeovers alone, also explore sends to a second place
			places = 2
		}
		e := explore(noFault, budget, places, maxStates)
		t.Logf("%s: %d states, %d steps deep, complete: %v", name, len(e.seen), e.deepest, e.isComplete)
		if e.violation != "" {
			t.Errorf("%s: %s", name, e.violation)
		}
	}
}

// Guards against violations that only show after more steps than the search reaches, with all kinds of faults at once.
func TestRandomWalksFindNoViolation(t *testing.T) {
	walks := 1500
	if v, err := strconv.Atoi(os.Getenv("LEASE_WALKS")); err == nil {
		walks = v
	}
	for seed := range walks {
		if brokenInvariant := randomWalk(noFault, [6]int{2, 2, 2, 2, 1, 3}, uint64(seed)); brokenInvariant != "" {
			t.Fatal(brokenInvariant)
		}
	}
}

// Guards against a model checker that detects nothing: each injected fault must lead to a violation.
func TestInjectedFaultsAreFound(t *testing.T) {
	for fault, budget := range map[injectedFault][6]int{
		answersBeforeCommit: {1, 0, 0, 0, 0, 1},
		sendsAfterFencing:   {0, 1, 0, 0, 0, 1},
		sendsStaleIntent:    {0, 1, 0, 0, 0, 1},
		retriesTooLate:      {1, 0, 0, 0, 0, 1},
		sendsBeforeIntent:   {1, 0, 0, 0, 0, 1},
	} {
		e := explore(fault, budget, 1, 60_000)
		if e.violation == "" {
			t.Errorf("fault %d leads to no violation in %d states, %d steps deep", fault, len(e.seen), e.deepest)
		}
		t.Logf("fault %d: %d states: %s", fault, len(e.seen), e.violation)
	}
}
