package delivery

import (
	"fmt"
	"slices"
	"strings"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

// applyConfiguration takes a newer configuration. Messages whose route is gone end, unless an attempt is out.
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

// rebuildServices brings the services in line with the configuration. Jobs that are open end at their old deciders.
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

// redefine gives a service its new definition and routes. Its decider is made anew where that matters to it.
func (s *service) redefine(definition *configuration.Service, routes []*configuration.Route) {
	signature := signatureOf(definition, routes)
	if signature != s.signature {
		s.retireAdapter()
	}
	s.definition, s.routes, s.signature = definition, routes, signature
	s.rateLimiter.setRate(s.engine.now(), definition.RateLimitPerSecond, s.engine.deliverers)
}

// retireDecider has the decider's open attempts end there. Messages that wait in it go back to their lanes.
func (s *service) retireAdapter() {
	if s.adapter == nil {
		return
	}
	retired := s.adapter
	s.adapter = nil
	retired.returnPending()
}

// signatureOf describes what a decider is made from.
func signatureOf(definition *configuration.Service, routes []*configuration.Route) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%q", definition.StaticEndpoint)
	for _, route := range routes {
		fmt.Fprintf(&text, " %q %v", route.Name, classSettings(route))
	}
	return text.String()
}

// rebuildLanes connects the lanes with their routes and services, and forgets those that have neither.
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

// connect finds a lane's route and service.
func (e *Engine) connect(q *routeQueue) {
	q.route, q.service = e.table.Route(q.name), nil
	if q.route == nil {
		return
	}
	if q.service = e.services[q.route.Service]; q.service != nil {
		q.service.routeQueues = append(q.service.routeQueues, q)
	}
}

// laneFor returns a route's lane.
func (e *Engine) routeQueueFor(route string) *routeQueue {
	if found := e.backlog.routeQueues[route]; found != nil {
		return found
	}
	fresh := newRouteQueue(route)
	e.backlog.routeQueues[route] = fresh
	e.connect(fresh)
	return fresh
}

// routeDropped tells whether a message has ended as the operator removed its route. A message that is newer than the
// configuration waits.
func (e *Engine) routeDropped(queued *queuedMessage) bool {
	return e.table != nil && e.table.Version >= queued.message.ConfigVersion && e.table.Route(queued.message.Route) == nil
}

// applyWorkers takes the latest list of workers.
func (e *Engine) applyWorkers() {
	e.endpoints.reconcile()
	e.refreshEndpoints()
}

// refreshDestinations gives each service its destinations, and tells the deciders of changes.
func (e *Engine) refreshEndpoints() {
	used := make(map[*endpoint]bool)
	listed := e.endpoints.byService()
	for _, s := range e.services {
		s.endpoints = listed[s.definition.Name]
		if s.definition.StaticEndpoint != "" {
			s.endpoints = []*endpoint{e.endpoints.staticEndpoint(s.definition)}
		}
		for _, d := range s.endpoints {
			used[d] = true
		}
		s.setLimits()
		if s.adapter != nil {
			s.adapter.sendWorkerList()
		}
	}
	e.endpoints.removeUnusedStatic(used)
	e.markAllDirty()
}

// applyDeliverers divides the ceilings anew.
func (e *Engine) applyDeliverers(count int) {
	e.deliverers = count
	now := e.now()
	for _, s := range e.services {
		s.rateLimiter.setRate(now, s.definition.RateLimitPerSecond, count)
	}
	e.markAllDirty()
}

// connectionShare is by how many callers a worker's limits are divided.
func (e *Engine) connectionShare() int {
	if e.options.ConnectionShare == nil {
		return 1
	}
	return max(e.options.ConnectionShare(), 1)
}

// ready makes the service's decider if there is none. It tells whether there is one.
func (s *service) ensureAdapter() bool {
	if s.adapter != nil {
		return true
	}
	made, err := newDecisionAdapter(s)
	if err != nil {
		s.engine.logger.Error("no decision module for a service", zap.String("service", s.definition.Name), zap.Error(err))
		return false
	}
	s.adapter = made
	return true
}

// sameList tells whether a list says what the module knows already, and keeps it.
func (d *decisionAdapter) isLastList(entries []decision.Entry) bool {
	if d.lastList != nil && slices.Equal(d.lastList, entries) {
		return true
	}
	d.lastList = entries
	return false
}
