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

		transcripts := map[string]*bytes.Buffer{firstMetricsFile: {}}
		for file := range laterMetrics {
			transcripts[file] = &bytes.Buffer{}
		}
		for _, target := range []string{"", "?node=store-2"} {
			request := newRequest(t, http.MethodGet, control, inspection.PathMetrics+target, "")
			_, _, text := call(t, client, request)
			for _, transcript := range transcripts {
				transcript.WriteString("GET " + inspection.PathMetrics + target + "\n")
			}
			for line := range strings.Lines(text) {
				transcripts[metricsFileOf(line)].WriteString(withoutValue(line))
			}
		}
		for file, transcript := range transcripts {
			golden.Assert(t, transcript.String(), file)
		}

		client.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-runError)
		time.Sleep(connectionsEnd)
	})
}

// firstMetricsFile records the metrics of the first version with this test. A recorded file must not change.
const firstMetricsFile = "metrics.golden"

// laterMetrics has the metrics that were added later, by the files that record them.
var laterMetrics = map[string][]string{
	"metrics-added.golden": {
		"gladepick_store_dead_letters", "gladepick_store_log_bytes", "gladepick_store_disk_limit_bytes",
		"gladepick_memory_bytes", "gladepick_memory_limit_bytes",
	},
	"metrics-recovery.golden": {"gladepick_store_messages_held", "gladepick_store_partitions_collecting"},
	"metrics-fencing.golden":  {"gladepick_store_partitions_fenced"},
}

// metricsFileOf returns the file that records the metric of a line of the exposition format.
func metricsFileOf(line string) string {
	words := strings.Fields(strings.TrimPrefix(strings.TrimPrefix(line, "# HELP "), "# TYPE "))
	for file, names := range laterMetrics {
		if len(words) > 0 && slices.Contains(names, words[0]) {
			return file
		}
	}
	return firstMetricsFile
}

// withoutValue returns a line of the exposition format without its value. It returns HELP and TYPE lines unchanged.
func withoutValue(line string) string {
	if strings.HasPrefix(line, "#") {
		return line
	}
	return line[:strings.LastIndexByte(line, ' ')] + "\n"
}
