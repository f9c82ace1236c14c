// The faults of a fleet, as its description lists them.

package testenv

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"gladepick/internal/dispatcher/config"
)

// announceWorker publishes a worker's state to the discovery server of every dispatcher, each after its own random
// delay.
func (f *Fleet) announceWorker(m *machine, state string) {
	for i, s := range f.dispatchers {
		r := f.desc.DiscoveryDelaySeconds
		m.mu.Lock()
		w := m.listEntry(i, state)
		m.mu.Unlock()
		time.AfterFunc(dur(r[0]+rand.Float64()*(r[1]-r[0])), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			s.generation++
			text, _ := json.Marshal(config.WorkerList{Generation: s.generation, Workers: []config.Worker{w}})
			s.discovery.Changes <- string(text)
		})
	}
}

// scheduleFaults starts the timers of the faults in the description.
func (f *Fleet) scheduleFaults() {
	rng := rand.New(rand.NewPCG(f.seed, 78))
	for _, fault := range f.desc.Faults {
		var affected []int
		for i, m := range f.workers {
			if (fault.Zone == "" || m.zone == fault.Zone) && (fault.Kind == "" || m.kind.Name == fault.Kind) {
				affected = append(affected, i)
			}
		}
		rng.Shuffle(len(affected), func(i, k int) { affected[i], affected[k] = affected[k], affected[i] })
		affected = affected[:int(fault.Fraction*float64(len(affected))+0.5)]
		schedule := func(at float64, do func(i int, m *machine)) {
			time.AfterFunc(dur(at), func() {
				for _, i := range affected {
					do(i, f.workers[i])
				}
			})
		}
		setSharedFraction := func(share float64) func(int, *machine) {
			return func(_ int, m *machine) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.advance()
				m.sharedFraction = share
				m.advance()
			}
		}
		end := fault.StartSeconds + fault.DurationSeconds
		switch fault.Type {
		case "deaths":
			schedule(fault.StartSeconds, func(_ int, m *machine) { m.kill(); f.announceWorker(m, "gone") })
			schedule(end, func(i int, m *machine) { m.restart(i + 1); f.announceWorker(m, "ready") })
		case "drain":
			schedule(fault.StartSeconds, func(_ int, m *machine) { f.announceWorker(m, "draining") })
			schedule(end, func(i int, m *machine) { m.kill(); m.restart(i + 1); f.announceWorker(m, "ready") })
		case "shared":
			for at := fault.StartSeconds; at < end; at += fault.OnSeconds + fault.OffSeconds {
				schedule(at, setSharedFraction(fault.Amount))
				schedule(min(at+fault.OnSeconds, end), setSharedFraction(0))
			}
		case "reports_late":
			time.AfterFunc(dur(fault.StartSeconds), func() { f.extraReportDelay.Store(int64(dur(fault.Amount))) })
			time.AfterFunc(dur(end), func() { f.extraReportDelay.Store(0) })
		}
	}
}
