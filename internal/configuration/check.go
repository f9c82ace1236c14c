package configuration

import (
	"fmt"
	"strconv"
	"strings"
)

// VersionError reports a version that is not above the current one.
type VersionError struct {
	Next    uint64
	Current uint64
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version: %d is not above the current version %d", e.Next, e.Current)
}

// CheckVersion returns a VersionError unless next is above current.
func CheckVersion(next, current uint64) error {
	if next > current {
		return nil
	}
	return &VersionError{Next: next, Current: current}
}

// check finds what is wrong between the items of a document.
func (d *Document) check() Findings {
	findings := checkNames(d.routes, fieldRoutes)
	findings = append(findings, checkNames(d.services, fieldServices)...)
	findings = append(findings, d.checkServicesOfRoutes()...)
	return append(findings, d.checkMatches()...)
}

// checkNames finds items of one list that share a name.
func checkNames[Value any](items []item[Value], list string) Findings {
	var findings Findings
	first := make(map[string]int, len(items))
	for i, item := range items {
		if item.name == "" {
			continue // reported when it was read
		}
		if earlier, ok := first[item.name]; ok {
			findings.add(itemPlace(list, i, item.name), fmt.Sprintf("%s[%d] has the same name", list, earlier))
			continue
		}
		first[item.name] = i
	}
	return findings
}

// checkServicesOfRoutes finds routes whose service does not exist.
func (d *Document) checkServicesOfRoutes() Findings {
	var findings Findings
	services := make(map[string]bool, len(d.services))
	for _, service := range d.services {
		services[service.name] = true
	}
	for i, route := range d.routes {
		if route.value == nil || route.value.Service == "" || services[route.value.Service] {
			continue
		}
		place := join(itemPlace(fieldRoutes, i, route.name), "service")
		findings.add(place, strconv.Quote(route.value.Service)+" is unknown")
	}
	return findings
}

// hostAndPrefix is what no two routes may share.
type hostAndPrefix struct {
	host   string
	prefix string
}

// checkMatches finds routes that share host and prefix.
func (d *Document) checkMatches() Findings {
	var findings Findings
	first := make(map[hostAndPrefix]int, len(d.routes))
	for i, route := range d.routes {
		if route.value == nil || route.value.Host == "" || route.value.PathPrefix == "" {
			continue // reported when it was read
		}
		key := hostAndPrefix{strings.ToLower(route.value.Host), route.value.PathPrefix}
		if earlier, ok := first[key]; ok {
			other := itemPlace(fieldRoutes, earlier, d.routes[earlier].name)
			findings.add(itemPlace(fieldRoutes, i, route.name), other+" has the same host and path-prefix")
			continue
		}
		first[key] = i
	}
	return findings
}
