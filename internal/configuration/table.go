package configuration

import (
	"slices"
	"strings"
)

// Table is an immutable snapshot of a configuration, indexed for look-ups by request and by name.
type Table struct {
	Version uint64
	Limits  Limits

	routes        []*Route
	services      []*Service
	routeByName   map[string]*Route
	serviceByName map[string]*Service
	hosts         map[string]*hostRoutes
}

// emptyTable is the table of a process without a configuration: default limits and no routes.
var emptyTable = &Table{Limits: newLimits(nil)}

// hostRoutes holds the routes of one host, sorted by prefix.
type hostRoutes struct {
	routes []*Route
	// parents[i] is the index of the route with the longest path prefix that is a proper prefix of
	// routes[i].PathPrefix, or -1 if there is none.
	parents []int
}

// newTable builds the table of a checked document.
func newTable(document *Document) *Table {
	table := &Table{
		Version:       document.version,
		Limits:        document.limits,
		routeByName:   make(map[string]*Route, len(document.routes)),
		serviceByName: make(map[string]*Service, len(document.services)),
		hosts:         make(map[string]*hostRoutes),
	}
	for _, route := range document.routes {
		table.addRoute(route.value)
	}
	for _, service := range document.services {
		table.services = append(table.services, service.value)
		table.serviceByName[service.name] = service.value
	}
	slices.SortFunc(table.routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(table.services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	for _, host := range table.hosts {
		host.sort()
	}
	return table
}

// addRoute adds a route to a table under construction.
func (t *Table) addRoute(route *Route) {
	t.routes = append(t.routes, route)
	t.routeByName[route.Name] = route
	host := strings.ToLower(route.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = &hostRoutes{}
	}
	t.hosts[host].routes = append(t.hosts[host].routes, route)
}

// Match returns the route of a request, or nil if no route matches. Among the routes of the request's host, it chooses
// the one with the longest path prefix of the request's path. Hosts are compared case-insensitively and without the
// request's port.
func (t *Table) Match(host, path string) *Route {
	if t == nil {
		return nil
	}
	routes := t.hosts[strings.ToLower(withoutPort(host))]
	if routes == nil {
		return nil
	}
	return routes.match(path)
}

// Route returns the route with the name, or nil if there is none.
func (t *Table) Route(name string) *Route {
	if t == nil {
		return nil
	}
	return t.routeByName[name]
}

// Service returns the service with the name, or nil if there is none.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.serviceByName[name]
}

// Routes returns all routes sorted by name. The caller must not change the slice.
func (t *Table) Routes() []*Route {
	if t == nil {
		return nil
	}
	return t.routes
}

// Services returns all services sorted by name. The caller must not change the slice.
func (t *Table) Services() []*Service {
	if t == nil {
		return nil
	}
	return t.services
}

// sort sorts the routes by path prefix and sets their parents.
func (h *hostRoutes) sort() {
	slices.SortFunc(h.routes, func(a, b *Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
	h.parents = make([]int, len(h.routes))
	for i, route := range h.routes {
		h.parents[i] = h.ancestor(i-1, route.PathPrefix)
	}
}

// ancestor follows the parents from a position to the first route whose path prefix is a prefix of the path, and
// returns that route's position. It returns -1 if there is none.
func (h *hostRoutes) ancestor(position int, path string) int {
	for position >= 0 && !strings.HasPrefix(path, h.routes[position].PathPrefix) {
		position = h.parents[position]
	}
	return position
}

// match returns the route with the longest path prefix of the path, or nil if there is none. Let last be the last route
// whose path prefix does not sort after the path. A path prefix that matches the path sorts at or before last, and is
// also a prefix of last's path prefix. The search can therefore be limited to last and its ancestors.
func (h *hostRoutes) match(path string) *Route {
	insertion, found := slices.BinarySearchFunc(h.routes, path, func(route *Route, path string) int {
		return strings.Compare(route.PathPrefix, path)
	})
	if found {
		return h.routes[insertion]
	}
	position := h.ancestor(insertion-1, path)
	if position < 0 {
		return nil
	}
	return h.routes[position]
}

// withoutPort returns a host without its port. The colons of an IPv6 address are in brackets, so they do not start a
// port.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || colon < strings.LastIndexByte(host, ']') {
		return host
	}
	return host[:colon]
}
