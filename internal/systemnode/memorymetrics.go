package systemnode

import (
	"runtime/metrics"

	"gladepick/internal/systemnode/inspection"
)

// Metrics of a process's memory.
var (
	metricMemory = inspection.Metric{
		Name: "gladepick_memory_bytes", Kind: inspection.Gauge, Help: "Memory that the Go runtime has from the system."}
	metricMemoryLimit = inspection.Metric{
		Name: "gladepick_memory_limit_bytes", Kind: inspection.Gauge, Help: "Memory at which the platform ends the process."}
)

// The runtime's metrics of which the difference is what the process has.
const (
	memoryMapped   = "/memory/classes/total:bytes"
	memoryReturned = "/memory/classes/heap/released:bytes"
)

// collectMemory writes how much memory the process has, and how much it may have. The runtime does not count threads' stacks
// of C code and the program's text.
func collectMemory(samples *inspection.Samples, limitMB int) {
	read := []metrics.Sample{{Name: memoryMapped}, {Name: memoryReturned}}
	metrics.Read(read)
	samples.Add(metricMemory, float64(read[0].Value.Uint64()-read[1].Value.Uint64()))
	samples.Add(metricMemoryLimit, float64(limitMB)*bytesPerMegabyte)
}
