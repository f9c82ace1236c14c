package configuration

import (
	"strings"
	"time"

	"gladepick/internal/configuration/configurationpb"
)

// Values of a route's optional fields if the operator omits them.
const (
	defaultRouteType   = "async"
	defaultMaxAttempts = 1
	defaultRetention   = 90 * time.Second
)

// Route defines which requests are accepted as messages, and how those are delivered. It is read-only once parsed.
type Route struct {
	Name          string
	Host          string        // as the operator wrote it; matched case-insensitively
	PathPrefix    string        // begins with "/"
	Service       string        // name of the service whose workers process the messages
	Type          string        // value of the field route-type
	Timeout       time.Duration // for one attempt
	LatencyTarget time.Duration // target for the answer to the client; field target-latency-ms
	StartTarget   time.Duration // target for the start of the first attempt; field target-start-ms
	Retention     time.Duration // time from acceptance until a message expires
	Priority      int           // 0 is the highest priority
	MaxAttempts   int           // at least 1
	Ordered       bool          // messages with the same order key are delivered one after the other
}

// parseRoute decodes, checks and converts one route.
func parseRoute(raw []byte) (item[*Route], Findings) {
	message := &configurationpb.Route{}
	findings := decodeMessage(raw, message, "")
	if len(findings) > 0 {
		return item[*Route]{}, findings
	}
	findings = checkRoute(message)
	route := &Route{
		Name:          message.GetName(),
		Host:          message.GetHost(),
		PathPrefix:    message.GetPathPrefix(),
		Service:       message.GetService(),
		Type:          valueOr(message.RouteType, defaultRouteType),
		Timeout:       toDuration(message.GetTimeoutMs(), time.Millisecond),
		LatencyTarget: toDuration(message.GetTargetLatencyMs(), time.Millisecond),
		StartTarget:   toDuration(message.GetTargetStartMs(), time.Millisecond),
		Retention:     toDuration(valueOr(message.RetentionS, defaultRetention.Seconds()), time.Second),
		Priority:      toInteger(message.GetPriority()),
		MaxAttempts:   toInteger(valueOr(message.MaxAttempts, defaultMaxAttempts)),
		Ordered:       message.GetOrdered(),
	}
	return item[*Route]{name: route.Name, raw: raw, value: route}, findings
}

// checkRoute checks a route without regard to the other items of the configuration.
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
	if valueOr(message.MaxAttempts, defaultMaxAttempts) < 1 {
		findings.add("max-attempts", "must be at least 1")
	}
	return findings
}
