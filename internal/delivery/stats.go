package delivery

import (
	"sync"
	"sync/atomic"
)

// Stats are figures about an engine, as of the event loop's last turn.
type Stats struct {
	Queued   int // messages that have not ended
	InFlight int // attempts
	Services map[string]ServiceStats
}

// ServiceStats are figures about one service.
type ServiceStats struct {
	Due              int  // messages that wait and may be dispatched
	Pending          int  // messages that are dispatched: with the decision module or in flight
	ConcurrencyLimit int  // how many messages may be dispatched
	Ready            int  // workers that take messages
	Down             bool // the last attempts all ended without a worker processing the message
}

// gauges are what the event loop publishes: of a service, after each run.
type gauges struct {
	queued atomic.Int64
	mutex  sync.Mutex // guards byName; the gauges themselves are atomic
	byName map[string]*serviceGauge
}

type serviceGauge struct {
	due, pending, concurrencyLimit, ready atomic.Int64
	down                                  atomic.Bool
}

// keep gives each service its gauge and drops the others.
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

// publishGauge publishes the service's figures after a run.
func (s *service) publishGauge() {
	due := 0
	for _, q := range s.routeQueues {
		due += q.dueCount()
	}
	limit := s.maxConcurrency()
	s.gauge.due.Store(int64(due))
	s.gauge.pending.Store(int64(s.dispatched))
	s.gauge.concurrencyLimit.Store(int64(s.concurrency.updateLimit(limit)))
	s.gauge.ready.Store(int64(s.readyCount()))
	s.gauge.down.Store(s.concurrency.down)
}

// Stats returns the figures of the event loop's last turn.
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
