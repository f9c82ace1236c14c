package delivery

import (
	"fmt"
	"strings"

	"gladepick/internal/configuration"
)

// applyConfiguration applies a configuration unless it is older than the current one. Messages whose route was removed
// end as dead letters, except those that are dispatched.
func (e *Engine) applyConfiguration(table *configuration.Table) {
	if table == nil || e.table != nil && table.Version < e.table.Version {
		return
	}
	e.table = table
	e.rebuildServices()
	e.rebuildRouteQueues()
	e.refreshEndpoints()
	var dropped []*queuedMessage
	e.backlog.forEach(func(queued *queuedMessage) {
		if queued.state != dispatched && e.routeRemoved(queued) {
			dropped = append(dropped, queued)
		}
	})
	e.deadLetterAll(dropped)
}

// rebuildServices creates, updates and removes services to match the configuration. Attempts in flight end at the
// adapters that started them.
func (e *Engine) rebuildServices() {
	routes := make(map[string][]*configuration.Route)
	for _, route := range e.table.Routes() {
		routes[route.Service] = append(routes[route.Service], route)
	}
	configured := make(map[string]*service)
	for _, definition := range e.table.Services() {
		s := e.services[definition.Name]
		if s == nil {
			s = &service{engine: e, callerCount: e.countCallers(), nextRun: never, scheduleIndex: -1}
		}
		s.redefine(definition, routes[definition.Name])
		configured[definition.Name] = s
	}
	for name, s := range e.services {
		if configured[name] == nil {
			s.retireAdapter()
			s.routeQueues = nil
			e.schedule.remove(s)
		}
	}
	e.services = configured
	e.gauges.setServices(configured)
}

// redefine sets the definition and the routes of a service. If the change concerns the decision module, the adapter is
// retired.
func (s *service) redefine(definition *configuration.Service, routes []*configuration.Route) {
	signature := signatureOf(definition, routes)
	if signature != s.signature {
		s.retireAdapter()
	}
	s.definition, s.routes, s.signature = definition, routes, signature
	s.rateLimiter.setRate(s.engine.now(), definition.RateLimitPerSecond, s.engine.rateDivisor)
}

// retireAdapter removes the adapter of the service. Its attempts in flight still end there. Its pending messages return
// to their route queues.
func (s *service) retireAdapter() {
	if s.adapter == nil {
		return
	}
	retired := s.adapter
	s.adapter = nil
	retired.returnPending()
}

// signatureOf returns a text that differs if an adapter made from the definition and the routes would differ.
func signatureOf(definition *configuration.Service, routes []*configuration.Route) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%q", definition.StaticEndpoint)
	for _, route := range routes {
		fmt.Fprintf(&text, " %q %v", route.Name, classSettings(route))
	}
	return text.String()
}

// rebuildRouteQueues connects the route queues to their routes and services. It deletes the queues that are empty and
// have no route.
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

// connect sets the route and the service of a route queue.
func (e *Engine) connect(q *routeQueue) {
	q.route, q.service = e.table.Route(q.name), nil
	if q.route == nil {
		return
	}
	if q.service = e.services[q.route.Service]; q.service != nil {
		q.service.routeQueues = append(q.service.routeQueues, q)
	}
}

// routeQueueFor returns the queue of a route. It creates the queue if there is none.
func (e *Engine) routeQueueFor(route string) *routeQueue {
	if found := e.backlog.routeQueues[route]; found != nil {
		return found
	}
	created := newRouteQueue(route)
	e.backlog.routeQueues[route] = created
	e.connect(created)
	return created
}

// routeRemoved reports whether the operator has removed the route of a message. A message that was submitted under a
// newer configuration waits for that configuration instead.
func (e *Engine) routeRemoved(queued *queuedMessage) bool {
	return e.table != nil && e.table.Version >= queued.message.ConfigVersion && e.table.Route(queued.message.Route) == nil
}

// applyWorkers applies the latest list of workers.
func (e *Engine) applyWorkers() {
	e.endpoints.reconcile()
	e.refreshEndpoints()
}

// refreshEndpoints sets the endpoints of each service and sends them to the decision modules.
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

// applyRateDivisor applies a new divisor to the rate limits of all services.
func (e *Engine) applyRateDivisor(divisor int) {
	e.rateDivisor = divisor
	now := e.now()
	for _, s := range e.services {
		s.rateLimiter.setRate(now, s.definition.RateLimitPerSecond, divisor)
	}
	e.markAllDirty()
}

// countCallers returns the number of callers that share the connections and slots of each worker.
func (e *Engine) countCallers() int {
	if e.options.CallerCount == nil {
		return 1
	}
	return max(e.options.CallerCount(), 1)
}
