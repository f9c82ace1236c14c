package systemnode

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"gladepick/internal/ingress"
	"gladepick/internal/systemnode/inspection"
)

// Metrics of every process.
var (
	metricUptime = inspection.Metric{
		Name: "gladepick_uptime_seconds", Kind: inspection.Gauge, Help: "Time since the start of the process."}
	metricLeaseValid = inspection.Metric{
		Name: "gladepick_lease_valid", Kind: inspection.Gauge, Help: "Whether the lease of the process runs."}
	metricConfigurationVersion = inspection.Metric{
		Name: "gladepick_configuration_version", Kind: inspection.Gauge, Help: "Version of the configuration."}
	metricTableRevision = inspection.Metric{
		Name: "gladepick_table_revision", Kind: inspection.Gauge, Help: "Revision of the cluster table."}
	metricWorkers = inspection.Metric{
		Name: "gladepick_workers", Kind: inspection.Gauge, Help: "Workers on the platform's list."}
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

// Metrics of a store.
var (
	metricMessages = inspection.Metric{
		Name: "gladepick_store_messages", Kind: inspection.Gauge, Help: "Messages held that have not ended."}
	metricMessagesLed = inspection.Metric{
		Name: "gladepick_store_messages_led", Kind: inspection.Gauge, Help: "Those of them in partitions led here."}
	metricDiskFailing = inspection.Metric{
		Name: "gladepick_store_disk_failing", Kind: inspection.Gauge, Help: "Whether the disk takes no writes."}
	metricQueued = inspection.Metric{
		Name: "gladepick_delivery_queued", Kind: inspection.Gauge, Help: "Messages that the delivery has to end."}
	metricInFlight = inspection.Metric{
		Name: "gladepick_delivery_in_flight", Kind: inspection.Gauge, Help: "Attempts that are out."}
	metricServiceDue = inspection.Metric{
		Name: "gladepick_delivery_service_due", Kind: inspection.Gauge, Help: "Messages that could run now."}
	metricServiceOpen = inspection.Metric{
		Name: "gladepick_delivery_service_open", Kind: inspection.Gauge, Help: "Messages being decided on or out."}
	metricServiceWindow = inspection.Metric{
		Name: "gladepick_delivery_service_window", Kind: inspection.Gauge, Help: "How many attempts may be out."}
	metricServiceWorkers = inspection.Metric{
		Name: "gladepick_delivery_service_workers", Kind: inspection.Gauge, Help: "Workers that take messages."}
	metricServiceDown = inspection.Metric{
		Name: "gladepick_delivery_service_down", Kind: inspection.Gauge, Help: "Whether no worker answers."}
)

// newMetrics makes the registry of a process and serves it to other processes.
func (n *node) newMetrics() *inspection.Registry {
	registry := &inspection.Registry{}
	started := time.Now()
	registry.Add(func(samples *inspection.Samples) {
		samples.Add(metricUptime, time.Since(started).Round(time.Millisecond).Seconds())
		n.collect(samples)
	})
	n.server.Handle(inspection.MethodMetrics, inspection.HandleMetrics(registry))
	return registry
}

func (n *node) collect(samples *inspection.Samples) {
	samples.AddBool(metricLeaseValid, n.agent.LeaseValid())
	samples.Add(metricConfigurationVersion, float64(n.agent.Config().Version()))
	if table := n.agent.Table(); table != nil {
		samples.Add(metricTableRevision, float64(table.Revision))
	}
	samples.Add(metricWorkers, float64(n.agent.WorkerCount()))
}

// withInspection adds the read-only calls to a handler.
func (n *node) withInspection(registry *inspection.Registry, otherwise http.Handler) http.Handler {
	return inspection.NewHandler(inspection.Options{
		Self:      n.info,
		Snapshots: n.agent,
		Metrics:   registry,
		Call:      inspection.PoolCaller(n.pool),
	}, otherwise)
}

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

// collectStore writes the metrics of a store.
func (s *Store) collectStore(samples *inspection.Samples) {
	held, led := s.messages.Holdings()
	samples.Add(metricMessages, float64(held))
	samples.Add(metricMessagesLed, float64(led))
	samples.AddBool(metricDiskFailing, s.messages.DiskFailing())
	stats := s.engine.Stats()
	samples.Add(metricQueued, float64(stats.Queued))
	samples.Add(metricInFlight, float64(stats.InFlight))
	names := slices.Sorted(maps.Keys(stats.Services))
	each := func(metric inspection.Metric, figure func(name string) int) {
		for _, name := range names {
			samples.Add(metric, float64(figure(name)), inspection.Label{Name: "service", Value: name})
		}
	}
	each(metricServiceDue, func(name string) int { return stats.Services[name].Due })
	each(metricServiceOpen, func(name string) int { return stats.Services[name].Pending })
	each(metricServiceWindow, func(name string) int { return stats.Services[name].ConcurrencyLimit })
	each(metricServiceWorkers, func(name string) int { return stats.Services[name].Ready })
	for _, name := range names {
		samples.AddBool(metricServiceDown, stats.Services[name].Down, inspection.Label{Name: "service", Value: name})
	}
}
