package configuration

import (
	"net"
	"strconv"

	"gladepick/internal/configuration/configurationpb"
)

// defaultProtocol is the protocol of a service if the operator states none.
const defaultProtocol = "h1"

// Service describes a group of workers. It is read-only once parsed.
type Service struct {
	Name               string
	HealthCheck        string  // path of the health check
	Protocol           string  // "h1" for HTTP/1.1
	StaticEndpoint     string  // host:port of the only endpoint; empty if the workers are discovered
	MaxConnections     int     // to one worker from all callers together; 0 if not stated
	RateLimitPerSecond float64 // requests per second across all stores; 0 for no rate limit
	Deduplicates       bool    // the workers detect repeated requests; field dedup
}

// parseService decodes, checks and converts one service.
func parseService(raw []byte) (item[*Service], Findings) {
	message := &configurationpb.Service{}
	findings := decodeMessage(raw, message, "")
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
		Protocol:           valueOr(message.Protocol, defaultProtocol),
		StaticEndpoint:     message.GetStaticEndpoint(),
		MaxConnections:     toInteger(message.GetMaxConnections()),
		RateLimitPerSecond: message.GetRatePerS(),
		Deduplicates:       message.GetDedup(),
	}
	return item[*Service]{name: service.Name, raw: raw, value: service}, findings
}

// isEndpoint reports whether a text has the form host:port, with a port from 1 to 65535.
func isEndpoint(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
