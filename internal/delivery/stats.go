package delivery

import (
	"sync"
	"sync/atomic"
)

// Stats are a few figures about an engine.
type Stats struct {
	Queued   int // messages that have not ended
	InFlight int // attempts that are out
	Services map[string]ServiceStats
}

// ServiceStats are a few figures about one service.
type ServiceStats struct {
	Due              int  // messages that could run now
	Pending          int  // messages that are with the decision module or out
	ConcurrencyLimit int  // how many may be out
	Ready            int  // workers
	Down             bool // no worker has answered of late
}

// gauges are what the loop publishes: of a service, after each look at it.
type gauges struct {
	queued atomic.Int64
	mutex  sync.Mutex // guards the map
	byName map[string]*serviceGauge
}

type serviceGauge struct {
	due, pending, concurrencyLimit, ready atomic.Int64
	down                                  atomic.Bool
}

// keep gives each service its gauge and forgets the others.
func (g *gauges) keep(services map[string]*service) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.byName = make(map[string]*serviceGauge, len(services))
	for name, s := range services {
		if s.gauge == nil {
			s.gauge = &serviceGauge{}
		}
		g.byName[name] = s.gauge
	}
}

// publishGauge publishes the service's figures after a look.
func (s *service) publishGauge() {
	due := 0
	for _, q := range s.routeQueues {
		due += q.dueCount()
	}
	limit := s.maxConcurrency()
	s.gauge.due.Store(int64(due))
	s.gauge.pending.Store(int64(s.pending))
	s.gauge.concurrencyLimit.Store(int64(s.concurrency.allowed(limit)))
	s.gauge.ready.Store(int64(s.readyCount()))
	s.gauge.down.Store(s.concurrency.down)
}

// Stats returns the figures of the loop's last turn.
func (e *Engine) Stats() Stats {
	e.gauges.mutex.Lock()
	defer e.gauges.mutex.Unlock()
	stats := Stats{
		Queued:   int(e.gauges.queued.Load()),
		InFlight: e.InFlight(),
		Services: make(map[string]ServiceStats, len(e.gauges.byName)),
	}
	for name, gauge := range e.gauges.byName {
		stats.Services[name] = ServiceStats{
			Due:              int(gauge.due.Load()),
			Pending:          int(gauge.pending.Load()),
			ConcurrencyLimit: int(gauge.concurrencyLimit.Load()),
			Ready:            int(gauge.ready.Load()),
			Down:             gauge.down.Load(),
		}
	}
	return stats
}
