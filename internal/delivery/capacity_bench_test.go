package delivery

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ivyfold/internal/configuration"
	"ivyfold/internal/network"
)

// BenchmarkTurn is one turn of the loop with nothing to do, by the number of services. Every event leads to one.
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

// processorTime is what this process has used so far.
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
