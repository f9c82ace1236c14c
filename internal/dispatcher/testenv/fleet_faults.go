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
		w := m.line(i, state)
		m.mu.Unlock()
		time.AfterFunc(dur(r[0]+rand.Float64()*(r[1]-r[0])), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			s.gen++
			text, _ := json.Marshal(config.WorkerList{Generation: s.gen, Workers: []config.Worker{w}})
			s.discovery.Changes <- string(text)
		})
	}
}

// scheduleFaults starts the timers of the faults in the description.
func (f *Fleet) scheduleFaults() {
	rng := rand.New(rand.NewPCG(f.seed, 78))
	for _, t := range f.desc.Faults {
		var hit []int
		for i, m := range f.workers {
			if (t.Zone == "" || m.zone == t.Zone) && (t.Kind == "" || m.kind.Name == t.Kind) {
				hit = append(hit, i)
			}
		}
		rng.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
		hit = hit[:int(t.Fraction*float64(len(hit))+0.5)]
		each := func(at float64, do func(i int, m *machine)) {
			time.AfterFunc(dur(at), func() {
				for _, i := range hit {
					do(i, f.workers[i])
				}
			})
		}
		set := func(share float64) func(int, *machine) {
			return func(_ int, m *machine) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.advance()
				m.taken = share
				m.advance()
			}
		}
		end := t.StartSeconds + t.DurationSeconds
		switch t.Type {
		case "deaths":
			each(t.StartSeconds, func(_ int, m *machine) { m.kill(); f.announceWorker(m, "gone") })
			each(end, func(i int, m *machine) { m.restart(i + 1); f.announceWorker(m, "ready") })
		case "drain":
			each(t.StartSeconds, func(_ int, m *machine) { f.announceWorker(m, "draining") })
			each(end, func(i int, m *machine) { m.kill(); m.restart(i + 1); f.announceWorker(m, "ready") })
		case "shared":
			for at := t.StartSeconds; at < end; at += t.OnSeconds + t.OffSeconds {
				each(at, set(t.Amount))
				each(min(at+t.OnSeconds, end), set(0))
			}
		case "reports_late":
			time.AfterFunc(dur(t.StartSeconds), func() { f.late.Store(int64(dur(t.Amount))) })
			time.AfterFunc(dur(end), func() { f.late.Store(0) })
		}
	}
}
