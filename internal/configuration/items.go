package configuration

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/configuration/configurationpb"
)

// Names of the wire that are used in more than one place.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "services"
	fieldLimits   = "limits"
	fieldName     = "name"
)

// Values of fields that the operator left out.
const (
	defaultRouteType   = "async"
	defaultProtocol    = "h1"
	defaultMaxAttempts = 1
	defaultRetention   = 90 * time.Second
)

// item is a route or a service, together with the bytes that the operator sent for it.
type item[Value any] struct {
	name  string
	raw   []byte
	value Value
}

// parseItem reads one item. The findings tell the fields but not the item's place in its list.
type parseItem[Value any] func(raw []byte) (item[Value], Findings)

// itemReader reads the items of one list. Items that stand in the previous document are taken from there.
type itemReader[Value any] struct {
	parse    parseItem[Value]
	previous map[string]item[Value] // by their bytes
}

// newItemReader makes a reader that takes unchanged items from a list of the previous document.
func newItemReader[Value any](parse parseItem[Value], previous []item[Value]) itemReader[Value] {
	known := make(map[string]item[Value], len(previous))
	for _, old := range previous {
		known[string(old.raw)] = old
	}
	return itemReader[Value]{parse: parse, previous: known}
}

// read returns the items of a JSON array.
func (r itemReader[Value]) read(array []byte, place string) ([]item[Value], Findings) {
	if !isKind(array, '[') {
		return nil, Findings{{Path: place, Problem: "must be a list"}}
	}
	values := elements(array)
	items := make([]item[Value], 0, len(values))
	var findings Findings
	for i, raw := range values {
		if old, ok := r.previous[string(raw)]; ok {
			items = append(items, item[Value]{name: old.name, raw: raw, value: old.value})
			continue
		}
		read, found := r.parse(raw)
		for _, finding := range found {
			findings.add(join(itemPlace(place, i, nameOf(raw)), finding.Path), finding.Problem)
		}
		items = append(items, read)
	}
	return items, findings
}

// itemPlace says where an item stands.
func itemPlace(list string, index int, name string) string {
	place := fmt.Sprintf("%s[%d]", list, index)
	if name == "" {
		return place
	}
	return place + " " + strconv.Quote(name)
}

// nameOf returns the name of an item that may be faulty, or "".
func nameOf(raw []byte) string {
	for _, member := range members(raw) {
		if member.name == fieldName && isKind(member.value, '"') {
			return unquote(member.value)
		}
	}
	return ""
}

// parseRoute reads and checks one route.
func parseRoute(raw []byte) (item[*Route], Findings) {
	message := &configurationpb.Route{}
	findings := decode(raw, message, "")
	if len(findings) > 0 {
		return item[*Route]{}, findings
	}
	findings = checkRoute(message)
	route := &Route{
		Name:          message.GetName(),
		Host:          message.GetHost(),
		PathPrefix:    message.GetPathPrefix(),
		Service:       message.GetService(),
		Type:          orDefault(message.RouteType, defaultRouteType),
		Timeout:       duration(message.GetTimeoutMs(), time.Millisecond),
		LatencyTarget: duration(message.GetTargetLatencyMs(), time.Millisecond),
		StartTarget:   duration(message.GetTargetStartMs(), time.Millisecond),
		Retention:     duration(orDefault(message.RetentionS, defaultRetention.Seconds()), time.Second),
		Priority:      integer(message.GetPriority()),
		MaxAttempts:   integer(orDefault(message.MaxAttempts, defaultMaxAttempts)),
		Ordered:       message.GetOrdered(),
	}
	return item[*Route]{name: route.Name, raw: raw, value: route}, findings
}

// checkRoute finds what is wrong in a route by itself.
func checkRoute(message *configurationpb.Route) Findings {
	var findings Findings
	required := []struct{ field, value string }{
		{fieldName, message.GetName()},
		{"host", message.GetHost()},
		{"path-prefix", message.GetPathPrefix()},
		{"service", message.GetService()},
	}
	for _, text := range required {
		if text.value == "" {
			findings.add(text.field, "missing")
		}
	}
	if prefix := message.GetPathPrefix(); prefix != "" && !strings.HasPrefix(prefix, "/") {
		findings.add("path-prefix", "must begin with /")
	}
	if message.GetTimeoutMs() <= 0 {
		findings.add("timeout-ms", "must be above 0")
	}
	if orDefault(message.MaxAttempts, defaultMaxAttempts) < 1 {
		findings.add("max-attempts", "must be at least 1")
	}
	return findings
}

// parseService reads and checks one service.
func parseService(raw []byte) (item[*Service], Findings) {
	message := &configurationpb.Service{}
	findings := decode(raw, message, "")
	if len(findings) > 0 {
		return item[*Service]{}, findings
	}
	if message.GetName() == "" {
		findings.add(fieldName, "missing")
	}
	if endpoint := message.GetStaticEndpoint(); endpoint != "" && !isEndpoint(endpoint) {
		findings.add("static-endpoint", "must be host:port")
	}
	service := &Service{
		Name:               message.GetName(),
		HealthCheck:        message.GetHealthCheck(),
		Protocol:           orDefault(message.Protocol, defaultProtocol),
		StaticEndpoint:     message.GetStaticEndpoint(),
		MaxConnections:     integer(message.GetMaxConnections()),
		RateLimitPerSecond: message.GetRatePerS(),
		Deduplicates:       message.GetDedup(),
	}
	return item[*Service]{name: service.Name, raw: raw, value: service}, findings
}

// isEndpoint tells whether a text is host:port.
func isEndpoint(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
