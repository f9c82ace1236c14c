package systemnode

import (
	"net/http"
	"time"

	"gladepick/internal/systemnode/inspection"
)

// Metrics that every process has.
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

// newMetrics returns a registry with the metrics that every process has, and serves it to other processes as the
// internal call inspection.MethodMetrics.
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

// collect writes the metrics of the agent's snapshots.
func (n *node) collect(samples *inspection.Samples) {
	samples.AddBool(metricLeaseValid, n.agent.LeaseValid())
	samples.Add(metricConfigurationVersion, float64(n.agent.Config().Version()))
	if table := n.agent.Table(); table != nil {
		samples.Add(metricTableRevision, float64(table.Revision))
	}
	samples.Add(metricWorkers, float64(n.agent.WorkerCount()))
}

// withInspection returns a handler that serves the read-only calls of package inspection and passes all other
// requests to fallback.
func (n *node) withInspection(registry *inspection.Registry, fallback http.Handler) http.Handler {
	return inspection.NewHandler(inspection.Options{
		Self:      n.info,
		Snapshots: n.agent,
		Metrics:   registry,
		Call:      inspection.PoolCaller(n.pool),
	}, fallback)
}
