package inspection

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/configuration"
)

const goldenConfiguration = `{"version":3,"routes":[],"services":[],"limits":{}}`

// TestAnswersKeepTheirForm compares, byte by byte, the answers to the read-only calls with those of earlier versions.
// Operators' scripts and monitoring depend on them.
func TestAnswersKeepTheirForm(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	synctest.Test(t, func(t *testing.T) {
		document, err := configuration.Parse([]byte(goldenConfiguration))
		assert.NilError(t, err)
		known := &fakeSnapshots{config: document, table: sampleTable(), workers: 3, readAt: time.Now(), lease: true}
		time.Sleep(250 * time.Millisecond)
		var transcript bytes.Buffer
		registry := &Registry{}
		registry.Add(func(samples *Samples) { samples.Add(sampleCounter, 7) })
		record := func(title string, handler http.Handler, targets ...string) {
			for _, target := range targets {
				answer := get(handler, target)
				fmt.Fprintf(&transcript, "%s, GET %s\n%d, %s, %s bytes\n%s\n\n", title, target, answer.Code,
					answer.Header().Get("Content-Type"), answer.Header().Get("Content-Length"), answer.Body)
			}
		}
		otherwise := http.NotFoundHandler()
		views := []string{PathStatus, PathMembers, PathPartitions}
		knowing := NewHandler(Options{Self: self, Snapshots: known, Metrics: registry}, otherwise)
		record("process that knows all", knowing, views...)
		empty := NewHandler(Options{Self: self, Snapshots: &fakeSnapshots{}, Metrics: registry}, otherwise)
		record("process that knows nothing", empty, views...)
		metrics, _ := newTestHandler(nil)
		record("front", metrics, PathMetrics, PathMetrics+"?node=store-2", PathMetrics+"?node=nobody")
		failing, _ := newTestHandler(errors.New("refused"))
		record("store that does not answer", failing, PathMetrics+"?node=store-2")
		golden.Assert(t, transcript.String(), "answers.golden")
	})
}
