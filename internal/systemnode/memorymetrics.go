package systemnode

import (
	"runtime/metrics"

	"gladepick/internal/systemnode/inspection"
)

// Metrics of the memory of a process.
var (
	metricMemory = inspection.Metric{
		Name: "gladepick_memory_bytes", Kind: inspection.Gauge, Help: "Memory that the Go runtime has from the system."}
	metricMemoryLimit = inspection.Metric{
		Name: "gladepick_memory_limit_bytes", Kind: inspection.Gauge, Help: "Memory at which the platform ends the process."}
)

// Names of the metrics of package runtime/metrics. Their difference is the memory that the runtime has from the system.
const (
	memoryMapped   = "/memory/classes/total:bytes"
	memoryReturned = "/memory/classes/heap/released:bytes"
)

// collectMemory writes the memory that the process uses and the limit of the settings, both in bytes. The runtime's
// figure excludes the stacks of C code and the program text.
func collectMemory(samples *inspection.Samples, limitMB int) {
	read := []metrics.Sample{{Name: memoryMapped}, {Name: memoryReturned}}
	metrics.Read(read)
	samples.Add(metricMemory, float64(read[0].Value.Uint64()-read[1].Value.Uint64()))
	samples.Add(metricMemoryLimit, float64(limitMB)*bytesPerMegabyte)
}
