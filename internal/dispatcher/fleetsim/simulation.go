package fleetsim

import (
	"math/rand/v2"
	"time"

	"gladepick/internal/priorityqueue"
)

// Streams of random numbers, one for each concern. The draws of one do not affect the others, so two different fleets
// get the same requests.
const (
	arrivalStream uint64 = iota + 1
	workStream
	workerStream
	networkStream
	faultStream
	moduleStream
)

const eventsPerStopCheck = 4096

// event is a function to call at a point of virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// Before reports whether the event comes before the other one. Events at the same time run in the order in which they
// were scheduled.
func (e event) Before(other event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// simulation is the state of a day in progress.
type simulation struct {
	*scenario
	now              time.Duration
	queue            priorityqueue.Queue[event]
	nextSequence     uint64
	networkRandom    *rand.Rand
	workerRandom     *rand.Rand
	dispatchers      []*dispatcher
	workers          []*worker
	extraReportDelay time.Duration // added to each load report's delay while a fault makes reports late
	openRequests     int           // requests without a final outcome
	allArrived       bool          // the last request has arrived
	accounting       *Accounting
	result           *Result              // of accounting
	dedupRuns        map[uint64]*dedupRun // by deduplication key; all workers share it
}

// schedule schedules a call of do after a time; a negative time counts as 0.
func (sim *simulation) schedule(delay time.Duration, do func()) {
	sim.nextSequence++
	sim.queue.Push(event{sim.now + max(delay, 0), sim.nextSequence, do})
}

func newStream(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// Draw returns a uniformly distributed value of the range.
func (r Range) Draw(rng *rand.Rand) float64 { return r[0] + rng.Float64()*(r[1]-r[0]) }

// networkDelay draws the one-way delay of a message from one zone to another.
func (sim *simulation) networkDelay(from, to int) time.Duration {
	base := sim.SameZoneMs
	if from != to {
		base = sim.CrossZoneMs
	}
	return ms(base * (1 + sim.Jitter*(2*sim.networkRandom.Float64()-1)))
}

func newSimulation(s *scenario, seed uint64) *simulation {
	sim := &simulation{
		scenario:      s,
		networkRandom: newStream(seed, networkStream),
		workerRandom:  newStream(seed, workerStream),
		accounting:    newAccounting(s),
		dedupRuns:     map[uint64]*dedupRun{},
	}
	sim.result = sim.accounting.result
	return sim
}

// Simulate simulates a day. It calls stop, which may be nil, every few thousand events; if stop returns true, the day
// ends early and the result covers the part simulated so far.
func Simulate(fleet *Fleet, load *Load, seed uint64, stop func() bool) (*Result, error) {
	s, err := newScenario(fleet, load)
	if err != nil {
		return nil, err
	}
	sim := newSimulation(s, seed)
	sim.addWorkers()
	if err := sim.addDispatchers(newStream(seed, moduleStream)); err != nil {
		return nil, err
	}
	for _, d := range sim.dispatchers {
		d.start()
	}
	sim.scheduleFaults(newStream(seed, faultStream))
	sim.scheduleArrivals(seed)
	for _, w := range sim.workers {
		w.scheduleReports()
	}
	sim.run(stop)
	sim.closeAccounting()
	return sim.result, nil
}

func (sim *simulation) addWorkers() {
	for _, g := range sim.Workers {
		for range g.Count {
			sim.addWorker(sim.kindIndex[g.Kind], sim.zoneIndex[g.Zone])
		}
	}
}

func (sim *simulation) addDispatchers(seeds *rand.Rand) error {
	count := 0
	for _, g := range sim.Dispatchers {
		count += g.Count
	}
	for _, g := range sim.Dispatchers {
		for range g.Count {
			d, err := newDispatcher(sim, len(sim.dispatchers), count, g, seeds.Uint64())
			if err != nil {
				return err
			}
			sim.dispatchers = append(sim.dispatchers, d)
		}
	}
	return nil
}

// run processes events until all requests have ended or stop returns true.
func (sim *simulation) run(stop func() bool) {
	for n := 0; len(sim.queue) > 0 && !(sim.allArrived && sim.openRequests == 0); n++ {
		sim.step()
		if n%eventsPerStopCheck == 0 && stop != nil && stop() {
			sim.result.Stopped = true
			return
		}
	}
}

// step advances the clock to the next event and runs it.
func (sim *simulation) step() {
	e := sim.queue.Pop()
	sim.now = e.at
	e.do()
	sim.result.Events++
}
