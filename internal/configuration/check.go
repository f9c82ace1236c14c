package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// checkItems checks the items of a document against each other: names, references and route keys.
func (d *Document) checkItems() Findings {
	findings := checkUniqueNames(d.routes, fieldRoutes)
	findings = append(findings, checkUniqueNames(d.services, fieldServices)...)
	findings = append(findings, d.checkRouteServices()...)
	return append(findings, d.checkRouteKeys()...)
}

// checkUniqueNames reports items of one list that have the same name.
func checkUniqueNames[Value any](items []item[Value], list string) Findings {
	var findings Findings
	first := make(map[string]int, len(items))
	for i, item := range items {
		if item.name == "" {
			continue // parseItem has reported the missing name
		}
		if earlier, ok := first[item.name]; ok {
			findings.add(itemPath(list, i, item.name), fmt.Sprintf("%s[%d] has the same name", list, earlier))
			continue
		}
		first[item.name] = i
	}
	return findings
}

// checkRouteServices reports routes whose service does not exist.
func (d *Document) checkRouteServices() Findings {
	var findings Findings
	services := make(map[string]bool, len(d.services))
	for _, service := range d.services {
		services[service.name] = true
	}
	for i, route := range d.routes {
		if route.value == nil || route.value.Service == "" || services[route.value.Service] {
			continue
		}
		path := joinPath(itemPath(fieldRoutes, i, route.name), "service")
		findings.add(path, strconv.Quote(route.value.Service)+" is unknown")
	}
	return findings
}

// routeKey is the part of a route that must be unique: the host in lower case and the path prefix.
type routeKey struct {
	host   string
	prefix string
}

// checkRouteKeys reports routes that have the same host and path prefix.
func (d *Document) checkRouteKeys() Findings {
	var findings Findings
	first := make(map[routeKey]int, len(d.routes))
	for i, route := range d.routes {
		if route.value == nil || route.value.Host == "" || route.value.PathPrefix == "" {
			continue // parseRoute has reported the missing or invalid fields
		}
		key := routeKey{strings.ToLower(route.value.Host), route.value.PathPrefix}
		if earlier, ok := first[key]; ok {
			other := itemPath(fieldRoutes, earlier, d.routes[earlier].name)
			findings.add(itemPath(fieldRoutes, i, route.name), other+" has the same host and path-prefix")
			continue
		}
		first[key] = i
	}
	return findings
}
