package delivery

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/network"
)

// BenchmarkTurn measures a turn of the event loop that has no work, by the number of services. Every event causes a
// turn.
func BenchmarkTurn(b *testing.B) {
	for _, services := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			engine := New(Options{Name: "store", Zone: "a", Network: network.TCP{}})
			engine.applyConfiguration(benchTable(b, services))
			before := processorTime(b)
			b.ResetTimer()
			for range b.N {
				engine.turn()
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/float64(services), "cpu-ns/service")
		})
	}
}

// BenchmarkFullLook measures a run of all services when none has work.
func BenchmarkFullLook(b *testing.B) {
	const services = 10_000
	engine := New(Options{Name: "store", Zone: "a", Network: network.TCP{}})
	engine.applyConfiguration(benchTable(b, services))
	before := processorTime(b)
	b.ResetTimer()
	for range b.N {
		engine.markAllDirty()
		engine.dispatchServices(engine.now())
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/services, "cpu-ns/service")
}

// BenchmarkSetWorkers measures applying a list of workers that differs from the previous one in one entry.
func BenchmarkSetWorkers(b *testing.B) {
	const services, workers = 1000, 10_000
	engine := New(Options{Name: "store", Zone: "a", Network: network.TCP{}})
	engine.applyConfiguration(benchTable(b, services))
	list := make([]cluster.Worker, workers)
	for i := range list {
		list[i] = cluster.Worker{
			ID: fmt.Sprintf("i-%05d", i), Service: fmt.Sprintf("s-%d", i%services), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone: "a", Capacity: 6,
		}
	}
	engine.endpoints.publish(list)
	engine.applyWorkers()
	before := processorTime(b)
	b.ResetTimer()
	for i := range b.N {
		list[i%workers].Draining = !list[i%workers].Draining
		engine.endpoints.publish(list)
		engine.applyWorkers()
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/workers, "cpu-ns/worker")
}

// processorTime returns the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchTable(b *testing.B, services int) *configuration.Table {
	var routeTexts, serviceTexts []string
	for number := range services {
		routeTexts = append(routeTexts, fmt.Sprintf(`{"name":"r-%d","host":"h-%d.example","path-prefix":"/","route-type":"async",`+
			`"timeout-ms":600,"service":"s-%d","max-attempts":6,"retention-s":45.0}`, number, number, number))
		serviceTexts = append(serviceTexts, fmt.Sprintf(`{"name":"s-%d","health-check":"/health","max-connections":130}`, number))
	}
	document, err := configuration.Parse(fmt.Appendf(nil, `{"version":1,"routes":[%s],"services":[%s],"limits":{}}`,
		strings.Join(routeTexts, ","), strings.Join(serviceTexts, ",")))
	assert.NilError(b, err)
	return document.Table()
}
