// An explorer of one promise: every order in which commands, replies, sends, crashes, stops, takeovers and a client's
// second try can come, with commands lost and doubled, in a small world with a clock of few ticks. What must hold is
// looked at in every state. The same explorer with a seeded fault in how the machine is used has to find it.

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
	again    = 2 // ticks within which a repeat is let through
	fresh    = 1 // a send begins within it
	remember = 3 // workers drop a repeat of what they ran so long ago
	deadline = 5
	begin    = 10 // 0 stands for no time at all in records
	horizon  = begin + 5
)

// mutant is a fault in how the machine is used.
type mutant int

const (
	none       mutant = iota
	hasty             // a client is told what a worker gave before it stands on the copies
	unfenced          // a send goes out although another owner has the job
	stale             // a send goes out however long ago its intent was
	forgetful         // the copies let a repeat through longer than workers remember
	unreserved        // a send goes out before its intent stands
)

type flight struct {
	from    int // hold
	command *lease.Command
}

type answer struct {
	to      int
	command *lease.Command
	reply   lease.Response
}

// node is a state with the way that led to it.
type node struct {
	*state
	from *node
	step string
	deep int
}

// dispatcherWord is the name of an owner.
func word(d int) string { return string(rune('A' + d)) }

type holder struct {
	hold   *lease.Lease
	at     int // dispatcher
	client bool
	inner  bool  // the module has it
	out    int   // attempts at workers that have not ended here
	may    []may // attempts that may go out
	place  uint32
	tries  int
	result string // that has come from a worker
}

type may struct {
	attempt int
	place   uint32 // of the worker: each place has a memory of its own, and a repeat is bound to it
}

type state struct {
	table   *lease.Table
	now     int64
	holds   []holder
	dead    [3]bool
	stopped [3]bool
	flights []flight
	answers []answer
	came    []answer         // results on the way to holds: to, reply.Result
	effects int              // of the job at the workers
	ran     [2]int64         // by place, when they last remember to have run it; -1: not at all
	told    []lease.Response // what clients were told, without repeats
	budget  [6]int           // crashes, stops, losses, doubles, second tries, seizures left
}

func (s *state) clone() *state {
	c := *s
	c.table = s.table.Clone()
	c.holds = slices.Clone(s.holds)
	for i := range c.holds {
		c.holds[i].hold = c.holds[i].hold.Clone()
		c.holds[i].may = slices.Clone(c.holds[i].may)
	}
	c.flights, c.answers, c.came, c.told = slices.Clone(s.flights), slices.Clone(s.answers), slices.Clone(s.came), slices.Clone(s.told)
	return &c
}

func (s *state) key() uint64 {
	h := xxhash.New()
	r, _ := s.table.Get("k")
	fmt.Fprint(h, r)
	fmt.Fprint(h, s.now, s.dead, s.stopped, s.effects, s.ran, s.told, s.budget)
	for _, x := range s.holds {
		fmt.Fprint(h, x.hold.Shape(), x.at, x.client, x.inner, x.out, x.may, x.place, x.tries, x.result)
	}
	for _, f := range s.flights {
		fmt.Fprint(h, f.from, *f.command)
	}
	for _, a := range slices.Concat(s.answers, s.came) {
		fmt.Fprint(h, a.to, a.command, a.reply)
	}
	return h.Sum64()
}

type explorer struct {
	places  int
	fault   mutant
	seen    map[uint64]bool
	deepest int
	found   string
	whole   bool
}

// act carries out what a hold wants.
func (e *explorer) act(s *state, i int, acts []lease.Action) {
	x := &s.holds[i]
	for _, a := range acts {
		switch a.Kind {
		case lease.Propose:
			s.flights = append(s.flights, flight{i, a.Command})
		case lease.Admit, lease.Retry:
			x.inner = true
		case lease.Send:
			if e.fault != unreserved {
				x.may = append(x.may, may{a.Attempt, x.place})
			}
		case lease.Answer:
			e.tell(s, lease.Response{Outcome: a.Outcome, Result: a.Result})
		case lease.Closed, lease.AwaitOwner:
			if x.inner = false; e.fault != unfenced {
				x.may = nil
			}
		}
	}
}

func (e *explorer) tell(s *state, r lease.Response) {
	if !slices.ContainsFunc(s.told, func(o lease.Response) bool { return o.Outcome == r.Outcome && string(o.Result) == string(r.Result) }) {
		s.told = append(s.told, r)
	}
}

func terms(now int64, sender uint64, fault mutant) lease.Terms {
	t := lease.Terms{RetryWindow: again, SamePlaceOnly: true, Deadline: min(now+deadline, horizon), Retention: 100, MaxRecords: 10, RequestID: sender}
	if fault == forgetful {
		t.RetryWindow = 100
	}
	return t
}

// steps gives every state that can come next, with its name.
func (e *explorer) steps(s *state) (out []*state, names []string) {
	add := func(name string, do func(n *state)) {
		n := s.clone()
		do(n)
		out, names = append(out, n), append(names, name)
	}
	runs := func(d int) bool { return !s.dead[d] && !s.stopped[d] }
	if s.now < horizon {
		add("tick", func(n *state) { n.now++ })
	}
	for i, f := range s.flights {
		apply := func(name string, heard bool) {
			add(fmt.Sprintf("apply %d of %d%s", f.command.Kind, f.from, name), func(n *state) {
				n.flights = slices.Delete(n.flights, i, i+1)
				r := n.table.Apply(f.command)
				if d := n.holds[f.from].at; heard && runs(d) { // the reply is there at once
					e.act(n, f.from, n.holds[f.from].hold.HandleResponse(f.command, r))
				} else if !n.dead[d] {
					n.answers = append(n.answers, answer{f.from, f.command, r})
				}
			})
		}
		apply("", true)
		if d := s.holds[f.from].at; d < 2 && runs(d) && s.budget[0]+s.budget[1] > 0 {
			apply(", and it hears later", false)
		}
		if s.budget[2] > 0 {
			add(fmt.Sprintf("lose %d of %d", f.command.Kind, f.from), func(n *state) {
				n.budget[2]--
				n.flights = slices.Delete(n.flights, i, i+1)
				e.act(n, f.from, n.holds[f.from].hold.HandleUnknownOutcome(f.command))
			})
			add(fmt.Sprintf("give %d of %d up, and it comes yet", f.command.Kind, f.from), func(n *state) {
				n.budget[2]--
				e.act(n, f.from, n.holds[f.from].hold.HandleUnknownOutcome(f.command))
			})
		}
		if s.budget[3] > 0 {
			add(fmt.Sprintf("double %d of %d", f.command.Kind, f.from), func(n *state) {
				n.budget[3]--
				n.flights = append(n.flights, f)
			})
		}
	}
	for i, a := range s.answers {
		if x := s.holds[a.to]; runs(x.at) {
			add(fmt.Sprintf("%d hears %v", a.to, a.reply.Decision), func(n *state) {
				n.answers = slices.Delete(n.answers, i, i+1)
				e.act(n, a.to, n.holds[a.to].hold.HandleResponse(a.command, a.reply))
			})
		}
	}
	for i, a := range s.came {
		if x := s.holds[a.to]; runs(x.at) {
			add(fmt.Sprintf("%d has a result", a.to), func(n *state) {
				n.came = slices.Delete(n.came, i, i+1)
				y := &n.holds[a.to]
				if y.out--; y.inner {
					if e.fault == hasty && y.client {
						e.tell(n, lease.Response{Outcome: lease.Served, Result: a.reply.Result})
					}
					y.inner = false
					e.act(n, a.to, y.hold.Finish(lease.Served, a.reply.Result, n.now))
				}
			})
		}
	}
	for i := range s.holds {
		x := &s.holds[i]
		if !runs(x.at) {
			continue
		}
		if x.inner && x.out == 0 && len(x.may) == 0 && x.tries < 2 {
			for place := range uint32(e.places) {
				add(fmt.Sprintf("%d asks for %d", i, place), func(n *state) {
					y := &n.holds[i]
					y.tries, y.place = y.tries+1, place
					e.act(n, i, y.hold.RequestSend(y.tries-1, place, n.now))
					if e.fault == unreserved {
						y.may = append(y.may, may{y.tries - 1, place})
					}
				})
			}
		}
		if len(x.may) > 0 {
			send := func(name string, ran, back bool) {
				add(fmt.Sprintf("%d sends%s", i, name), func(n *state) {
					y := &n.holds[i]
					at := y.may[0].place
					y.may = y.may[1:]
					if y.hold.SendTimeLeft(n.now) <= 0 && e.fault != stale && e.fault != unfenced && e.fault != unreserved {
						y.hold.AttemptEnded(true)
						return
					}
					if ran {
						if n.ran[at] < 0 || n.now >= n.ran[at]+remember {
							n.effects++
							n.ran[at] = n.now
						}
					}
					if back {
						y.out++
						n.came = append(n.came, answer{to: i, reply: lease.Response{Result: fmt.Append(nil, "effect ", n.effects)}})
					} else {
						y.hold.AttemptEnded(false) // it breaks off: it may have run
					}
				})
			}
			send("", true, true)
			send(", and the answer is lost", true, false)
			send(" into nothing", false, false)
		}
		if x.inner && x.out == 0 && len(x.may) == 0 && x.tries > 0 {
			add(fmt.Sprintf("%d gives up", i), func(n *state) {
				n.holds[i].inner = false
				e.act(n, i, n.holds[i].hold.Finish(lease.Failed, nil, n.now))
			})
		}
		if x.hold.IsWaiting() {
			if r, ok := s.table.Get("k"); ok && r.State == lease.Ended {
				add(fmt.Sprintf("%d finds", i), func(n *state) { e.act(n, i, n.holds[i].hold.HandleRecord(r, true)) })
			}
		}
	}
	for d := range s.dead {
		if d < 2 && !s.dead[d] && s.budget[0] > 0 {
			add("crash "+word(d), func(n *state) {
				n.budget[0]--
				n.dead[d] = true
				n.answers = slices.DeleteFunc(n.answers, func(a answer) bool { return n.holds[a.to].at == d })
				n.came = slices.DeleteFunc(n.came, func(a answer) bool { return n.holds[a.to].at == d })
			})
		}
		if d < 2 && !s.dead[d] && !s.stopped[d] && s.budget[1] > 0 {
			add("stop "+word(d), func(n *state) { n.budget[1]--; n.stopped[d] = true })
		}
		if s.stopped[d] && !s.dead[d] {
			add("wake "+word(d), func(n *state) { n.stopped[d] = false })
		}
	}
	// Whoever is stopped or dead may be taken for gone, and another gets what it has.
	for d := range 2 {
		if (s.dead[d] || s.stopped[d]) && s.budget[5] > 0 && len(s.table.Owned(word(d))) > 0 {
			to := 2
			add("seize from "+word(d), func(n *state) {
				n.budget[5]--
				n.table.Apply(&lease.Command{Kind: lease.TakeOver, PreviousOwner: word(d), Owner: word(to), Time: n.now, Limit: 5})
				r, _ := n.table.Get("k")
				h, acts := lease.Resume(&r, fresh, n.now)
				n.holds = append(n.holds, holder{hold: h, at: to})
				e.act(n, len(n.holds)-1, acts)
			})
		}
	}
	if s.budget[4] > 0 && runs(1) && s.now < horizon {
		add("the client tries at B", func(n *state) {
			n.budget[4]--
			h, acts := lease.Begin("k", word(1), terms(n.now, 2, e.fault), fresh, []byte("job"), n.now)
			n.holds = append(n.holds, holder{hold: h, at: 1, client: true})
			e.act(n, len(n.holds)-1, acts)
		})
	}
	return out, names
}

// check says what a state breaks.
func (e *explorer) check(s *state) string {
	if s.effects > 1 {
		return "the job took effect twice"
	}
	if len(s.told) > 1 {
		return fmt.Sprintf("clients were told %v and %v", s.told[0], s.told[1])
	}
	if r, ok := s.table.Get("k"); len(s.told) == 1 && (!ok || r.State != lease.Ended || r.Outcome != s.told[0].Outcome) {
		return "a client was told what does not stand"
	}
	return ""
}

// first is a client's try at A.
func (e *explorer) first(budget [6]int) *state {
	s := &state{table: lease.New(), now: begin, ran: [2]int64{-1, -1}, budget: budget}
	h, acts := lease.Begin("k", word(0), terms(begin, 1, e.fault), fresh, []byte("job"), begin)
	s.holds = append(s.holds, holder{hold: h, at: 0, client: true})
	e.act(s, 0, acts)
	return s
}

// explore goes through the states in the order of their depth, so that the shortest way to a fault is found.
func explore(fault mutant, budget [6]int, places, most int) *explorer {
	e := &explorer{places: places, fault: fault, seen: map[uint64]bool{}, whole: true}
	queue := []*node{{state: e.first(budget)}}
	for len(queue) > 0 && e.found == "" {
		x := queue[0]
		queue = queue[1:]
		if broken := e.check(x.state); broken != "" {
			var way []string
			for y := x; y != nil; y = y.from {
				way = append(way, y.step)
			}
			slices.Reverse(way)
			e.found = fmt.Sprintf("%s after %q", broken, way)
		}
		e.deepest = x.deep
		next, names := e.steps(x.state)
		for i, n := range next {
			k := n.key()
			if e.seen[k] {
				continue
			} else if len(e.seen) >= most {
				e.whole = false
				break
			}
			e.seen[k] = true
			queue = append(queue, &node{n, x, names[i], x.deep + 1})
		}
	}
	return e
}

// walk goes one way at random through a world, to its end.
func walk(fault mutant, budget [6]int, seed uint64) string {
	e := &explorer{places: 2, fault: fault}
	rng := rand.New(rand.NewPCG(seed, 1))
	s, way := e.first(budget), []string(nil)
	for range 200 {
		if broken := e.check(s); broken != "" {
			return fmt.Sprintf("walk %d: %s after %q", seed, broken, way)
		}
		next, names := e.steps(s)
		if len(next) == 0 {
			break
		}
		i := rng.IntN(len(next))
		s, way = next[i], append(way, names[i])
	}
	return ""
}

// budgets are crashes, stops, losses, doubles, second tries and seizures.
var budgets = map[string][6]int{
	"a crash and a takeover":           {1, 0, 0, 0, 0, 1},
	"a stop, a takeover and a waking":  {0, 1, 0, 0, 0, 1},
	"a loss, a double, a second try":   {0, 0, 1, 1, 1, 0},
	"two losses, a crash, a takeover":  {1, 0, 2, 0, 0, 1},
	"a crash, a second try, takeovers": {1, 0, 0, 0, 1, 2},
}

func TestEveryOrderOfOnePromise(t *testing.T) {
	most := 12_000
	if v, err := strconv.Atoi(os.Getenv("LEASE_STATES")); err == nil {
		most = v
	}
	for name, b := range budgets {
		places := 1
		if b[5] > 0 && b[4] == 0 { // takeovers alone: then also where the second send goes
			places = 2
		}
		e := explore(none, b, places, most)
		t.Logf("%s: %d states, %d steps deep, all of them: %v", name, len(e.seen), e.deepest, e.whole)
		if e.found != "" {
			t.Errorf("%s: %s", name, e.found)
		}
	}
}

// Far deeper than all orders can be gone through, with every kind of trouble at once.
func TestWalksOfOnePromise(t *testing.T) {
	walks := 1500
	if v, err := strconv.Atoi(os.Getenv("LEASE_WALKS")); err == nil {
		walks = v
	}
	for seed := range walks {
		if broken := walk(none, [6]int{2, 2, 2, 2, 1, 3}, uint64(seed)); broken != "" {
			t.Fatal(broken)
		}
	}
}

// Each promise of the machine is broken by one way of using it wrongly, and the explorer has to see it.
func TestSeededFaultsAreFound(t *testing.T) {
	for fault, b := range map[mutant][6]int{
		hasty:      {1, 0, 0, 0, 0, 1},
		unfenced:   {0, 1, 0, 0, 0, 1},
		stale:      {0, 1, 0, 0, 0, 1},
		forgetful:  {1, 0, 0, 0, 0, 1},
		unreserved: {1, 0, 0, 0, 0, 1},
	} {
		e := explore(fault, b, 1, 60_000)
		if e.found == "" {
			t.Errorf("fault %d is not found in %d states, %d deep", fault, len(e.seen), e.deepest)
		}
		t.Logf("fault %d: %d states: %s", fault, len(e.seen), e.found)
	}
}
