package delivery

import (
	"sync"
	"sync/atomic"
)

// Stats are figures of an engine. All except InFlight are as of the last turn of the event loop.
type Stats struct {
	Queued   int                     // messages that have not ended
	InFlight int                     // attempts in flight
	Services map[string]ServiceStats // by service name
}

// ServiceStats are figures of one service.
type ServiceStats struct {
	Due              int  // messages that are due and wait to be dispatched
	Pending          int  // messages that are dispatched: held by the decision module or in flight
	ConcurrencyLimit int  // how many messages may be dispatched at the same time
	Ready            int  // workers to which messages may be sent
	Down             bool // consecutive attempts have ended without a worker processing the message
}

// gauges holds the figures that the event loop publishes: for each service after each of its runs, for the backlog
// after each turn.
type gauges struct {
	queued atomic.Int64
	mutex  sync.Mutex // guards byName; the gauges themselves are atomic
	byName map[string]*serviceGauge
}

type serviceGauge struct {
	due, pending, concurrencyLimit, ready atomic.Int64
	down                                  atomic.Bool
}

// setServices creates a gauge for each service that has none, and drops the gauges of other services.
func (g *gauges) setServices(services map[string]*service) {
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

// publishGauge publishes the figures of the service after a run.
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

// Stats returns the current figures of the engine.
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
