package delivery

import (
	"fmt"
	"strings"

	"gladepick/internal/configuration"
)

// applyConfiguration takes over a newer configuration. Messages whose route is gone end as dead letters, but for those that
// are dispatched.
func (e *Engine) applyConfiguration(table *configuration.Table) {
	if table == nil || e.table != nil && table.Version < e.table.Version {
		return
	}
	e.table = table
	e.rebuildServices()
	e.rebuildRouteQueues()
	e.refreshEndpoints()
	var dropped []*queuedMessage
	e.backlog.each(func(queued *queuedMessage) {
		if queued.state != dispatched && e.routeDropped(queued) {
			dropped = append(dropped, queued)
		}
	})
	e.deadLetterAll(dropped)
}

// rebuildServices brings the services in line with the configuration. Attempts in flight end at their old adapters.
func (e *Engine) rebuildServices() {
	routes := make(map[string][]*configuration.Route)
	for _, route := range e.table.Routes() {
		routes[route.Service] = append(routes[route.Service], route)
	}
	kept := make(map[string]*service)
	for _, definition := range e.table.Services() {
		s := e.services[definition.Name]
		if s == nil {
			s = &service{engine: e, share: e.connectionShare(), nextRun: never, scheduleIndex: -1}
		}
		s.redefine(definition, routes[definition.Name])
		kept[definition.Name] = s
	}
	for name, s := range e.services {
		if kept[name] == nil {
			s.retireAdapter()
			s.routeQueues = nil
			e.schedule.remove(s)
		}
	}
	e.services = kept
	e.gauges.keep(kept)
}

// redefine gives a service its new definition and routes. A change that matters to the decision module retires the adapter.
func (s *service) redefine(definition *configuration.Service, routes []*configuration.Route) {
	signature := signatureOf(definition, routes)
	if signature != s.signature {
		s.retireAdapter()
	}
	s.definition, s.routes, s.signature = definition, routes, signature
	s.rateLimiter.setRate(s.engine.now(), definition.RateLimitPerSecond, s.engine.rateDivisor)
}

// retireAdapter drops the service's adapter. Its attempts in flight still end there; messages that are pending in it return
// to their route queues.
func (s *service) retireAdapter() {
	if s.adapter == nil {
		return
	}
	retired := s.adapter
	s.adapter = nil
	retired.returnPending()
}

// signatureOf describes what an adapter is made from.
func signatureOf(definition *configuration.Service, routes []*configuration.Route) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%q", definition.StaticEndpoint)
	for _, route := range routes {
		fmt.Fprintf(&text, " %q %v", route.Name, classSettings(route))
	}
	return text.String()
}

// rebuildRouteQueues connects the route queues with their routes and services, and drops those that are empty and have no
// route.
func (e *Engine) rebuildRouteQueues() {
	for _, s := range e.services {
		s.routeQueues = s.routeQueues[:0]
	}
	for name, q := range e.backlog.routeQueues {
		e.connect(q)
		if q.route == nil && q.empty() {
			delete(e.backlog.routeQueues, name)
		}
	}
}

// connect finds a route queue's route and service.
func (e *Engine) connect(q *routeQueue) {
	q.route, q.service = e.table.Route(q.name), nil
	if q.route == nil {
		return
	}
	if q.service = e.services[q.route.Service]; q.service != nil {
		q.service.routeQueues = append(q.service.routeQueues, q)
	}
}

// routeQueueFor returns a route's queue, and makes it if there is none.
func (e *Engine) routeQueueFor(route string) *routeQueue {
	if found := e.backlog.routeQueues[route]; found != nil {
		return found
	}
	fresh := newRouteQueue(route)
	e.backlog.routeQueues[route] = fresh
	e.connect(fresh)
	return fresh
}

// routeDropped tells whether the operator has removed a message's route. A message that was submitted under a newer
// configuration waits for it.
func (e *Engine) routeDropped(queued *queuedMessage) bool {
	return e.table != nil && e.table.Version >= queued.message.ConfigVersion && e.table.Route(queued.message.Route) == nil
}

// applyWorkers takes over the latest list of workers.
func (e *Engine) applyWorkers() {
	e.endpoints.reconcile()
	e.refreshEndpoints()
}

// refreshEndpoints gives each service its endpoints, and tells the decision modules of changes.
func (e *Engine) refreshEndpoints() {
	used := make(map[*endpoint]bool)
	listed := e.endpoints.byService()
	for _, s := range e.services {
		s.endpoints = listed[s.definition.Name]
		if s.definition.StaticEndpoint != "" {
			s.endpoints = []*endpoint{e.endpoints.staticEndpoint(s.definition)}
		}
		for _, target := range s.endpoints {
			used[target] = true
		}
		s.setLimits()
		if s.adapter != nil {
			s.adapter.sendWorkerList()
		}
	}
	e.endpoints.removeUnusedStatic(used)
	e.markAllDirty()
}

// applyRateDivisor applies another divisor to the rate limits of all services.
func (e *Engine) applyRateDivisor(count int) {
	e.rateDivisor = count
	now := e.now()
	for _, s := range e.services {
		s.rateLimiter.setRate(now, s.definition.RateLimitPerSecond, count)
	}
	e.markAllDirty()
}

// connectionShare is the number of stores among which a worker's connections and slots are divided.
func (e *Engine) connectionShare() int {
	if e.options.ConnectionShare == nil {
		return 1
	}
	return max(e.options.ConnectionShare(), 1)
}
