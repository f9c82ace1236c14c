package configuration

import (
	"slices"
	"strings"
)

// Table is an immutable snapshot of a configuration, made for look-ups.
type Table struct {
	Version uint64
	Limits  Limits

	routes        []*Route
	services      []*Service
	routeByName   map[string]*Route
	serviceByName map[string]*Service
	hosts         map[string]*hostRoutes
}

// emptyTable is the table of a process that has no configuration.
var emptyTable = &Table{Limits: newLimits(nil)}

// hostRoutes holds the routes of one host, sorted by prefix.
type hostRoutes struct {
	routes []*Route
	// parents holds for each route the position of the longest other prefix that starts its own, or -1.
	parents []int
}

// newTable builds the table of a document that has been checked.
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

// addRoute enters a route in a table under construction.
func (t *Table) addRoute(route *Route) {
	t.routes = append(t.routes, route)
	t.routeByName[route.Name] = route
	host := strings.ToLower(route.Host)
	if t.hosts[host] == nil {
		t.hosts[host] = &hostRoutes{}
	}
	t.hosts[host].routes = append(t.hosts[host].routes, route)
}

// Match returns the route of a request: of those with its host, which is compared without its port and without
// regard to case, the one with the longest prefix that starts the path. It returns nil where there is none.
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

// Route returns a route by its name, or nil.
func (t *Table) Route(name string) *Route {
	if t == nil {
		return nil
	}
	return t.routeByName[name]
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *Service {
	if t == nil {
		return nil
	}
	return t.serviceByName[name]
}

// Routes returns all routes sorted by name. The slice must not be changed.
func (t *Table) Routes() []*Route {
	if t == nil {
		return nil
	}
	return t.routes
}

// Services returns all services sorted by name. The slice must not be changed.
func (t *Table) Services() []*Service {
	if t == nil {
		return nil
	}
	return t.services
}

// sort orders the routes by prefix and links each to its parent.
func (h *hostRoutes) sort() {
	slices.SortFunc(h.routes, func(a, b *Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
	h.parents = make([]int, len(h.routes))
	for i, route := range h.routes {
		h.parents[i] = h.ancestor(i-1, route.PathPrefix)
	}
}

// ancestor goes from a position up through the parents, to the first prefix that starts the path. It returns -1 where
// there is none.
func (h *hostRoutes) ancestor(position int, path string) int {
	for position >= 0 && !strings.HasPrefix(path, h.routes[position].PathPrefix) {
		position = h.parents[position]
	}
	return position
}

// match returns the route with the longest prefix that starts the path, or nil. Every prefix of the path sorts at or
// before the last prefix that is not above the path, and starts that one too: so it is among its ancestors.
func (h *hostRoutes) match(path string) *Route {
	above, found := slices.BinarySearchFunc(h.routes, path, func(route *Route, path string) int {
		return strings.Compare(route.PathPrefix, path)
	})
	if found {
		return h.routes[above]
	}
	position := h.ancestor(above-1, path)
	if position < 0 {
		return nil
	}
	return h.routes[position]
}

// withoutPort removes the port of a host. The colons of an IPv6 address stand in brackets.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || colon < strings.LastIndexByte(host, ']') {
		return host
	}
	return host[:colon]
}
