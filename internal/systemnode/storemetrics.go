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
	metricMessagesHeld = inspection.Metric{
		Name: "gladepick_store_messages_held", Kind: inspection.Gauge,
		Help: "Queued messages that wait until other replicas have told which messages have ended."}
	metricCollecting = inspection.Metric{
		Name: "gladepick_store_partitions_collecting", Kind: inspection.Gauge,
		Help: "Partitions that rest while their messages are collected here."}
	metricFenced = inspection.Metric{
		Name: "gladepick_store_partitions_fenced", Kind: inspection.Gauge,
		Help: "Partitions that rest because a replica has rejected the epoch of their primary, this store."}
	metricLogBytes = inspection.Metric{
		Name: "gladepick_store_log_bytes", Kind: inspection.Gauge, Help: "Size of the message log on the disk."}
	metricDiskLimit = inspection.Metric{
		Name: "gladepick_store_disk_limit_bytes", Kind: inspection.Gauge, Help: "Size of the disk by the settings; 0 for no limit."}
)

// collectStore writes the metrics of a store: the totals, then each per-service metric for all services in the order
// of their names.
func (s *Store) collectStore(samples *inspection.Samples) {
	messageStats := s.messages.Stats()
	samples.Add(metricMessages, float64(messageStats.Queued))
	samples.Add(metricMessagesLed, float64(messageStats.QueuedAsPrimary))
	samples.Add(metricMessagesHeld, float64(messageStats.Held))
	samples.Add(metricCollecting, float64(messageStats.Collecting))
	samples.Add(metricFenced, float64(messageStats.Fenced))
	samples.AddBool(metricDiskFailing, s.messages.DiskFailing())
	engineStats := s.engine.Stats()
	samples.Add(metricQueued, float64(engineStats.Queued))
	samples.Add(metricInFlight, float64(engineStats.InFlight))
	names := slices.Sorted(maps.Keys(engineStats.Services))
	addPerService := func(metric inspection.Metric, value func(name string) int) {
		for _, name := range names {
			samples.Add(metric, float64(value(name)), inspection.Label{Name: "service", Value: name})
		}
	}
	addPerService(metricServiceDue, func(name string) int { return engineStats.Services[name].Due })
	addPerService(metricServiceOpen, func(name string) int { return engineStats.Services[name].Pending })
	addPerService(metricServiceWindow, func(name string) int { return engineStats.Services[name].ConcurrencyLimit })
	addPerService(metricServiceWorkers, func(name string) int { return engineStats.Services[name].Ready })
	for _, name := range names {
		samples.AddBool(metricServiceDown, engineStats.Services[name].Down, inspection.Label{Name: "service", Value: name})
	}
	samples.Add(metricDeadLetters, float64(messageStats.DeadLetters))
	samples.Add(metricLogBytes, float64(messageStats.LogBytes))
	samples.Add(metricDiskLimit, float64(s.settings.Limits.DiskMB)*bytesPerMegabyte)
	collectMemory(samples, s.settings.Limits.MemoryMB)
}
