// A day in virtual time: the queue of events, the workers with their slots,
// queues and connections, the network, the roster and the clients. What the
// dispatchers do stands in node.go.

package fleetsim

import (
	"math"
	"math/rand/v2"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/priorityqueue"
)

// Streams of random numbers: what one part draws changes nothing for the others, so that two fleets meet the same
// clients.
const (
	forArrivals uint64 = iota + 1
	forWork
	forWorkers
	forNetwork
	forTroubles
	forModules
)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// Before tells whether the event comes first; events of one moment come in the order in which they were set.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

type day struct {
	*site
	now     time.Duration
	queue   priorityqueue.Queue[event]
	seq     uint64
	net     *rand.Rand
	draw    *rand.Rand
	nodes   []*node
	workers []*worker
	late    time.Duration // reports are this much later just now
	pending int           // requests without a final end
	came    bool          // the last request has come
	book    *Accounting
	res     *Result         // the book's
	ran     map[uint64]*run // keys that ran or run, as all workers know
}

// at lets something happen after a while.
func (d *day) at(after time.Duration, do func()) {
	d.seq++
	d.queue.Push(event{d.now + max(after, 0), d.seq, do})
}

func stream(seed, which uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, which)) }

// Draw is a figure between the two, any as likely as another.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// hop is the time one way between zones.
func (d *day) hop(a, b int) time.Duration {
	base := d.SameZoneMs
	if a != b {
		base = d.CrossZoneMs
	}
	return ms(base * (1 + d.Jitter*(2*d.net.Float64()-1)))
}

func newDay(s *site, seed uint64) *day {
	d := &day{site: s, net: stream(seed, forNetwork), draw: stream(seed, forWorkers), book: newBook(s), ran: map[uint64]*run{}}
	d.res = d.book.res
	return d
}

// Simulate plays a day. stop may end it early; the result then holds what was seen so far.
func Simulate(fleet *Fleet, load *Load, seed uint64, stop func() bool) (*Result, error) {
	s, err := together(fleet, load)
	if err != nil {
		return nil, err
	}
	d := newDay(s, seed)
	for _, g := range s.Workers {
		for range g.Count {
			d.addWorker(s.kind[g.Kind], s.zone[g.Zone])
		}
	}
	modules := stream(seed, forModules)
	count := 0
	for _, g := range s.Dispatchers {
		count += g.Count
	}
	for _, g := range s.Dispatchers {
		for range g.Count {
			n, err := newNode(d, len(d.nodes), count, g, modules.Uint64())
			if err != nil {
				return nil, err
			}
			d.nodes = append(d.nodes, n)
		}
	}
	for _, n := range d.nodes {
		n.begin()
	}
	d.troubles(stream(seed, forTroubles))
	d.clients(seed)
	for _, w := range d.workers {
		w.report()
	}
	for n := 0; len(d.queue) > 0 && !(d.came && d.pending == 0); n++ {
		d.step()
		if n%4096 == 0 && stop != nil && stop() {
			d.res.Stopped = true
			break
		}
	}
	d.finish()
	return d.res, nil
}

// step lets the next thing happen.
func (d *day) step() {
	e := d.queue.Pop()
	d.now = e.at
	e.do()
	d.res.Events++
}

// troubles sets up what goes wrong.
func (d *day) troubles(rng *rand.Rand) {
	for _, t := range d.Faults {
		var hit []*worker
		for _, w := range d.workers {
			if (t.Zone == "" || w.zone == d.zone[t.Zone]) && (t.Kind == "" || w.k == d.kind[t.Kind]) {
				hit = append(hit, w)
			}
		}
		rng.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
		if t.Type != "zone_lost" {
			hit = hit[:int(math.Round(t.Fraction*float64(len(hit))))]
		}
		each := func(after float64, do func(*worker)) {
			d.at(sec(after), func() {
				for _, w := range hit {
					do(w)
				}
			})
		}
		end := t.StartSeconds + t.DurationSeconds
		switch t.Type {
		case "zone_lost":
			each(t.StartSeconds, func(w *worker) { w.die(true) })
			each(end, func(w *worker) { w.rise() })
		case "deaths":
			each(t.StartSeconds, func(w *worker) { w.die(false) })
			each(end, func(w *worker) { w.rise() })
		case "drain":
			each(t.StartSeconds, func(w *worker) {
				if w.drains = w.up; w.drains {
					for _, n := range d.nodes {
						n.learns(w, decision.Draining, d.DiscoveryDelaySeconds.Draw(d.net))
					}
				}
			})
			each(end, func(w *worker) {
				if w.drains {
					w.die(false)
					w.rise()
				}
			})
		case "shared":
			set := func(share float64) func(*worker) {
				return func(w *worker) {
					w.count()
					w.taken = share
					w.replan()
				}
			}
			for at := t.StartSeconds; at < end; at += max(t.OnSeconds, 0.01) + t.OffSeconds {
				each(at, set(t.Amount))
				each(min(at+max(t.OnSeconds, 0.01), end), set(0))
			}
		case "reports_late":
			d.at(sec(t.StartSeconds), func() { d.late += sec(t.Amount) })
			d.at(sec(end), func() { d.late -= sec(t.Amount) })
		}
	}
}
