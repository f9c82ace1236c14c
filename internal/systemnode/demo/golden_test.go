package demo

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/controlplane/workerlist"
	"gladepick/internal/network/simulated"
	"gladepick/internal/systemnode/inspection"
)

// TestMetricNamesAreUnchanged compares the names, types, help texts and labels of all metrics of a front and of a store
// with those of earlier versions. Operators' dashboards and alerts depend on them.
func TestMetricNamesAreUnchanged(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := simulated.New(1)
		options := Options{
			Fronts: 3, Stores: 3, ToleratedLosses: 1, FirstPort: testPort, Directory: t.TempDir(),
			Network: simulatedNetwork.Host,
			Logger:  func(string) (*zap.Logger, error) { return zap.NewNop(), nil },
		}
		ctx, cancel := context.WithCancel(context.Background())
		ready := make(chan Addresses, 1)
		runError := make(chan error, 1)
		go func() { runError <- Run(ctx, options, func(addresses Addresses) { ready <- addresses }) }()
		control := (<-ready).Control[0]
		client := workerlist.NewPlatformClient(simulatedNetwork.Host(hostIP))
		time.Sleep(deliveryTime)

		var transcript, added, recovery bytes.Buffer
		for _, target := range []string{"", "?node=store-2"} {
			request := newRequest(t, http.MethodGet, control, inspection.PathMetrics+target, "")
			_, _, text := call(t, client, request)
			transcript.WriteString("GET " + inspection.PathMetrics + target + "\n")
			added.WriteString("GET " + inspection.PathMetrics + target + "\n")
			recovery.WriteString("GET " + inspection.PathMetrics + target + "\n")
			for line := range strings.Lines(text) {
				switch {
				case isMetricOf(addedMetrics, line):
					added.WriteString(withoutValue(line))
				case isMetricOf(recoveryMetrics, line):
					recovery.WriteString(withoutValue(line))
				default:
					transcript.WriteString(withoutValue(line))
				}
			}
		}
		golden.Assert(t, transcript.String(), "metrics.golden")
		golden.Assert(t, added.String(), "metrics-added.golden")
		golden.Assert(t, recovery.String(), "metrics-recovery.golden")

		client.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-runError)
		time.Sleep(connectionsEnd)
	})
}

// addedMetrics are the metrics that are recorded in metrics-added.golden. They were added later than metrics.golden,
// which must not change.
var addedMetrics = []string{
	"gladepick_store_dead_letters", "gladepick_store_log_bytes", "gladepick_store_disk_limit_bytes",
	"gladepick_memory_bytes", "gladepick_memory_limit_bytes",
}

// recoveryMetrics are the metrics of catch-ups and recoveries, which are recorded in metrics-recovery.golden.
var recoveryMetrics = []string{"gladepick_store_messages_held", "gladepick_store_partitions_collecting"}

// isMetricOf reports whether a line of the exposition format belongs to one of the metrics.
func isMetricOf(metrics []string, line string) bool {
	words := strings.Fields(strings.TrimPrefix(strings.TrimPrefix(line, "# HELP "), "# TYPE "))
	return len(words) > 0 && slices.Contains(metrics, words[0])
}

// withoutValue returns a line of the exposition format without its value. It returns HELP and TYPE lines unchanged.
func withoutValue(line string) string {
	if strings.HasPrefix(line, "#") {
		return line
	}
	return line[:strings.LastIndexByte(line, ' ')] + "\n"
}
