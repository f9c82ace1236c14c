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
	arrivalStream uint64 = iota + 1
	workStream
	workerStream
	networkStream
	faultStream
	moduleStream
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

type simulation struct {
	*scenario
	now              time.Duration
	queue            priorityqueue.Queue[event]
	nextSequence     uint64
	networkRandom    *rand.Rand
	workerRandom     *rand.Rand
	dispatchers      []*dispatcher
	workers          []*worker
	extraReportDelay time.Duration // reports are this much later just now
	openRequests     int           // requests without a final end
	allArrived       bool          // the last request has come
	accounting       *Accounting
	result           *Result              // the book's
	dedupRuns        map[uint64]*dedupRun // keys that ran or run, as all workers know
}

// at lets something happen after a while.
func (d *simulation) schedule(after time.Duration, do func()) {
	d.nextSequence++
	d.queue.Push(event{d.now + max(after, 0), d.nextSequence, do})
}

func newStream(seed, which uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, which)) }

// Draw is a figure between the two, any as likely as another.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// hop is the time one way between zones.
func (d *simulation) networkDelay(a, b int) time.Duration {
	base := d.SameZoneMs
	if a != b {
		base = d.CrossZoneMs
	}
	return ms(base * (1 + d.Jitter*(2*d.networkRandom.Float64()-1)))
}

func newSimulation(s *scenario, seed uint64) *simulation {
	d := &simulation{scenario: s, networkRandom: newStream(seed, networkStream), workerRandom: newStream(seed, workerStream), accounting: newAccounting(s), dedupRuns: map[uint64]*dedupRun{}}
	d.result = d.accounting.result
	return d
}

// Simulate plays a day. stop may end it early; the result then holds what was seen so far.
func Simulate(fleet *Fleet, load *Load, seed uint64, stop func() bool) (*Result, error) {
	s, err := newScenario(fleet, load)
	if err != nil {
		return nil, err
	}
	d := newSimulation(s, seed)
	for _, g := range s.Workers {
		for range g.Count {
			d.addWorker(s.kindIndex[g.Kind], s.zoneIndex[g.Zone])
		}
	}
	modules := newStream(seed, moduleStream)
	count := 0
	for _, g := range s.Dispatchers {
		count += g.Count
	}
	for _, g := range s.Dispatchers {
		for range g.Count {
			n, err := newDispatcher(d, len(d.dispatchers), count, g, modules.Uint64())
			if err != nil {
				return nil, err
			}
			d.dispatchers = append(d.dispatchers, n)
		}
	}
	for _, n := range d.dispatchers {
		n.start()
	}
	d.scheduleFaults(newStream(seed, faultStream))
	d.scheduleArrivals(seed)
	for _, w := range d.workers {
		w.scheduleReports()
	}
	for n := 0; len(d.queue) > 0 && !(d.allArrived && d.openRequests == 0); n++ {
		d.step()
		if n%4096 == 0 && stop != nil && stop() {
			d.result.Stopped = true
			break
		}
	}
	d.closeAccounting()
	return d.result, nil
}

// step lets the next thing happen.
func (d *simulation) step() {
	e := d.queue.Pop()
	d.now = e.at
	e.do()
	d.result.Events++
}

// troubles sets up what goes wrong.
func (d *simulation) scheduleFaults(rng *rand.Rand) {
	for _, t := range d.Faults {
		var hit []*worker
		for _, w := range d.workers {
			if (t.Zone == "" || w.zone == d.zoneIndex[t.Zone]) && (t.Kind == "" || w.kindIndex == d.kindIndex[t.Kind]) {
				hit = append(hit, w)
			}
		}
		rng.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
		if t.Type != "zone_lost" {
			hit = hit[:int(math.Round(t.Fraction*float64(len(hit))))]
		}
		each := func(after float64, do func(*worker)) {
			d.schedule(sec(after), func() {
				for _, w := range hit {
					do(w)
				}
			})
		}
		end := t.StartSeconds + t.DurationSeconds
		switch t.Type {
		case "zone_lost":
			each(t.StartSeconds, func(w *worker) { w.stop(true) })
			each(end, func(w *worker) { w.restart() })
		case "deaths":
			each(t.StartSeconds, func(w *worker) { w.stop(false) })
			each(end, func(w *worker) { w.restart() })
		case "drain":
			each(t.StartSeconds, func(w *worker) {
				if w.draining = w.up; w.draining {
					for _, n := range d.dispatchers {
						n.learnState(w, decision.Draining, d.DiscoveryDelaySeconds.Draw(d.networkRandom))
					}
				}
			})
			each(end, func(w *worker) {
				if w.draining {
					w.stop(false)
					w.restart()
				}
			})
		case "shared":
			set := func(share float64) func(*worker) {
				return func(w *worker) {
					w.advance()
					w.externalShare = share
					w.planNextCompletion()
				}
			}
			for at := t.StartSeconds; at < end; at += max(t.OnSeconds, 0.01) + t.OffSeconds {
				each(at, set(t.Amount))
				each(min(at+max(t.OnSeconds, 0.01), end), set(0))
			}
		case "reports_late":
			d.schedule(sec(t.StartSeconds), func() { d.extraReportDelay += sec(t.Amount) })
			d.schedule(sec(end), func() { d.extraReportDelay -= sec(t.Amount) })
		}
	}
}
