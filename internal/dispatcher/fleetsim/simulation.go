package fleetsim

import (
	"math/rand/v2"
	"time"

	"gladepick/internal/priorityqueue"
)

// Streams of random numbers. What one part draws changes nothing for the others, so two fleets meet the same clients.
const (
	arrivalStream uint64 = iota + 1
	workStream
	workerStream
	networkStream
	faultStream
	moduleStream
)

const eventsPerStopCheck = 4096

// event is something that happens at a moment of virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// Before tells whether the event comes first. Events of one moment come in the order in which they were scheduled.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// simulation is a day in progress.
type simulation struct {
	*scenario
	now              time.Duration
	queue            priorityqueue.Queue[event]
	nextSequence     uint64
	networkRandom    *rand.Rand
	workerRandom     *rand.Rand
	dispatchers      []*dispatcher
	workers          []*worker
	extraReportDelay time.Duration // added to each load report's delay at present
	openRequests     int           // requests without a final end
	allArrived       bool          // the last request has arrived
	accounting       *Accounting
	result           *Result              // of accounting
	dedupRuns        map[uint64]*dedupRun // by deduplication key; all workers share it
}

// schedule lets do happen after a time.
func (d *simulation) schedule(after time.Duration, do func()) {
	d.nextSequence++
	d.queue.Push(event{d.now + max(after, 0), d.nextSequence, do})
}

func newStream(seed, which uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, which)) }

// Draw returns a value between the two, with a uniform distribution.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// networkDelay returns the time that a message takes from one zone to another.
func (d *simulation) networkDelay(from, to int) time.Duration {
	base := d.SameZoneMs
	if from != to {
		base = d.CrossZoneMs
	}
	return ms(base * (1 + d.Jitter*(2*d.networkRandom.Float64()-1)))
}

func newSimulation(s *scenario, seed uint64) *simulation {
	d := &simulation{
		scenario:      s,
		networkRandom: newStream(seed, networkStream),
		workerRandom:  newStream(seed, workerStream),
		accounting:    newAccounting(s),
		dedupRuns:     map[uint64]*dedupRun{},
	}
	d.result = d.accounting.result
	return d
}

// Simulate plays a day. stop, which may be nil, is asked now and then whether to end it early; the result then holds what
// was seen so far.
func Simulate(fleet *Fleet, load *Load, seed uint64, stop func() bool) (*Result, error) {
	s, err := newScenario(fleet, load)
	if err != nil {
		return nil, err
	}
	d := newSimulation(s, seed)
	d.addWorkers()
	if err := d.addDispatchers(newStream(seed, moduleStream)); err != nil {
		return nil, err
	}
	for _, n := range d.dispatchers {
		n.start()
	}
	d.scheduleFaults(newStream(seed, faultStream))
	d.scheduleArrivals(seed)
	for _, w := range d.workers {
		w.scheduleReports()
	}
	d.run(stop)
	d.closeAccounting()
	return d.result, nil
}

func (d *simulation) addWorkers() {
	for _, g := range d.Workers {
		for range g.Count {
			d.addWorker(d.kindIndex[g.Kind], d.zoneIndex[g.Zone])
		}
	}
}

func (d *simulation) addDispatchers(seeds *rand.Rand) error {
	count := 0
	for _, g := range d.Dispatchers {
		count += g.Count
	}
	for _, g := range d.Dispatchers {
		for range g.Count {
			n, err := newDispatcher(d, len(d.dispatchers), count, g, seeds.Uint64())
			if err != nil {
				return err
			}
			d.dispatchers = append(d.dispatchers, n)
		}
	}
	return nil
}

// run lets everything happen until all requests have ended, or stop says so.
func (d *simulation) run(stop func() bool) {
	for n := 0; len(d.queue) > 0 && !(d.allArrived && d.openRequests == 0); n++ {
		d.step()
		if n%eventsPerStopCheck == 0 && stop != nil && stop() {
			d.result.Stopped = true
			return
		}
	}
}

// step lets the next event happen.
func (d *simulation) step() {
	e := d.queue.Pop()
	d.now = e.at
	e.do()
	d.result.Events++
}
