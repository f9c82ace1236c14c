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
	e.rebuildLanes()
	e.refreshDestinations()
	var dropped []*entry
	e.queue.each(func(en *entry) {
		if en.placement != withDecider && e.routeDropped(en) {
			dropped = append(dropped, en)
		}
	})
	e.endAll(dropped)
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
			s = &service{engine: e, share: e.connectionShare(), lookAt: never, lookIndex: -1}
		}
		s.redefine(definition, routes[definition.Name])
		kept[definition.Name] = s
	}
	for name, s := range e.services {
		if kept[name] == nil {
			s.retireDecider()
			s.lanes = nil
			e.agenda.forget(s)
		}
	}
	e.services = kept
	e.gauges.keep(kept)
}

// redefine gives a service its new definition and routes. Its decider is made anew where that matters to it.
func (s *service) redefine(definition *configuration.Service, routes []*configuration.Route) {
	signature := signatureOf(definition, routes)
	if signature != s.signature {
		s.retireDecider()
	}
	s.definition, s.routes, s.signature = definition, routes, signature
	s.bucket.setCeiling(s.engine.now(), definition.RateLimitPerSecond, s.engine.deliverers)
}

// retireDecider has the decider's open attempts end there. Messages that wait in it go back to their lanes.
func (s *service) retireDecider() {
	if s.decider == nil {
		return
	}
	retired := s.decider
	s.decider = nil
	retired.releaseHeld()
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
func (e *Engine) rebuildLanes() {
	for _, s := range e.services {
		s.lanes = s.lanes[:0]
	}
	for name, l := range e.queue.lanes {
		e.connect(l)
		if l.route == nil && l.empty() {
			delete(e.queue.lanes, name)
		}
	}
}

// connect finds a lane's route and service.
func (e *Engine) connect(l *lane) {
	l.route, l.service = e.table.Route(l.name), nil
	if l.route == nil {
		return
	}
	if l.service = e.services[l.route.Service]; l.service != nil {
		l.service.lanes = append(l.service.lanes, l)
	}
}

// laneFor returns a route's lane.
func (e *Engine) laneFor(route string) *lane {
	if found := e.queue.lanes[route]; found != nil {
		return found
	}
	fresh := newLane(route)
	e.queue.lanes[route] = fresh
	e.connect(fresh)
	return fresh
}

// routeDropped tells whether a message has ended as the operator removed its route. A message that is newer than the
// configuration waits.
func (e *Engine) routeDropped(en *entry) bool {
	return e.table != nil && e.table.Version >= en.message.ConfigVersion && e.table.Route(en.message.Route) == nil
}

// applyWorkers takes the latest list of workers.
func (e *Engine) applyWorkers() {
	e.destinations.update()
	e.refreshDestinations()
}

// refreshDestinations gives each service its destinations, and tells the deciders of changes.
func (e *Engine) refreshDestinations() {
	used := make(map[*destination]bool)
	listed := e.destinations.listed()
	for _, s := range e.services {
		s.destinations = listed[s.definition.Name]
		if s.definition.StaticEndpoint != "" {
			s.destinations = []*destination{e.destinations.static(s.definition)}
		}
		for _, d := range s.destinations {
			used[d] = true
		}
		s.setLimits()
		if s.decider != nil {
			s.decider.listAll()
		}
	}
	e.destinations.dropStatic(used)
	e.touchAll()
}

// applyDeliverers divides the ceilings anew.
func (e *Engine) applyDeliverers(count int) {
	e.deliverers = count
	now := e.now()
	for _, s := range e.services {
		s.bucket.setCeiling(now, s.definition.RateLimitPerSecond, count)
	}
	e.touchAll()
}

// connectionShare is by how many callers a worker's limits are divided.
func (e *Engine) connectionShare() int {
	if e.options.ConnectionShare == nil {
		return 1
	}
	return max(e.options.ConnectionShare(), 1)
}

// ready makes the service's decider if there is none. It tells whether there is one.
func (s *service) ready() bool {
	if s.decider != nil {
		return true
	}
	made, err := newDecider(s)
	if err != nil {
		s.engine.logger.Error("no decision module for a service", zap.String("service", s.definition.Name), zap.Error(err))
		return false
	}
	s.decider = made
	return true
}

// sameList tells whether a list says what the module knows already, and keeps it.
func (d *decider) sameList(entries []decision.Entry) bool {
	if d.listed != nil && slices.Equal(d.listed, entries) {
		return true
	}
	d.listed = entries
	return false
}
