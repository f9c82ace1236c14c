package systemnode

import (
	"gladepick/internal/ingress"
	"gladepick/internal/systemnode/inspection"
)

// Metrics of a front.
var (
	metricReady = inspection.Metric{
		Name: "gladepick_ingress_ready", Kind: inspection.Gauge, Help: "Whether the front wants new connections."}
	metricAnswers = inspection.Metric{
		Name: "gladepick_ingress_messages_total", Kind: inspection.Counter, Help: "Answers to messages by result."}
	metricStatusCalls = inspection.Metric{
		Name: "gladepick_ingress_status_calls_total", Kind: inspection.Counter, Help: "Questions about messages."}
)

// collectIngress writes the metrics of a front.
func collectIngress(samples *inspection.Samples, counters *ingress.Counters, ready bool) {
	samples.AddBool(metricReady, ready)
	results := []struct {
		name  string
		count uint64
	}{
		{"accepted", counters.Accepted.Load()},
		{"refused", counters.Rejected.Load()},
		{"unknown", counters.OutcomeUnknown.Load()},
		{"no_route", counters.NoRoute.Load()},
		{"invalid", counters.Invalid.Load()},
	}
	for _, result := range results {
		samples.Add(metricAnswers, float64(result.count), inspection.Label{Name: "result", Value: result.name})
	}
	samples.Add(metricStatusCalls, float64(counters.MessageQueries.Load()))
}
