package systemnode

import (
	"maps"
	"slices"

	"gladepick/internal/systemnode/inspection"
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
	metricDeadLetters = inspection.Metric{
		Name: "gladepick_store_dead_letters", Kind: inspection.Gauge, Help: "Messages held that ended without success."}
	metricLogBytes = inspection.Metric{
		Name: "gladepick_store_log_bytes", Kind: inspection.Gauge, Help: "Size of the message log on the disk."}
	metricDiskLimit = inspection.Metric{
		Name: "gladepick_store_disk_limit_bytes", Kind: inspection.Gauge, Help: "Size of the disk by the settings; 0 for no limit."}
)

// collectStore writes the metrics of a store: the totals, then each metric of a service for all services by name.
func (s *Store) collectStore(samples *inspection.Samples) {
	holdings := s.messages.Stats()
	samples.Add(metricMessages, float64(holdings.Queued))
	samples.Add(metricMessagesLed, float64(holdings.QueuedAsPrimary))
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
	samples.Add(metricDeadLetters, float64(holdings.DeadLetters))
	samples.Add(metricLogBytes, float64(holdings.LogBytes))
	samples.Add(metricDiskLimit, float64(s.settings.Limits.DiskMB)*bytesPerMegabyte)
	collectMemory(samples, s.settings.Limits.MemoryMB)
}
