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

// TestResponsesAreUnchanged compares the responses to the read-only calls byte by byte with those of earlier versions.
// Operators' scripts and monitoring depend on them.
func TestResponsesAreUnchanged(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	synctest.Test(t, func(t *testing.T) {
		document, err := configuration.Parse([]byte(goldenConfiguration))
		assert.NilError(t, err)
		snapshots := &fakeSnapshots{config: document, table: sampleTable(), workers: 3, readAt: time.Now(), lease: true}
		time.Sleep(250 * time.Millisecond)
		var transcript bytes.Buffer
		registry := &Registry{}
		registry.Add(func(samples *Samples) { samples.Add(sampleCounter, 7) })
		record := func(title string, handler http.Handler, targets ...string) {
			for _, target := range targets {
				response := get(handler, target)
				fmt.Fprintf(&transcript, "%s, GET %s\n%d, %s, %s bytes\n%s\n\n", title, target, response.Code,
					response.Header().Get("Content-Type"), response.Header().Get("Content-Length"), response.Body)
			}
		}
		fallback := http.NotFoundHandler()
		views := []string{PathStatus, PathMembers, PathPartitions}
		fullHandler := NewHandler(Options{Self: self, Snapshots: snapshots, Metrics: registry}, fallback)
		record("process that knows all", fullHandler, views...)
		emptyHandler := NewHandler(Options{Self: self, Snapshots: &fakeSnapshots{}, Metrics: registry}, fallback)
		record("process that knows nothing", emptyHandler, views...)
		metrics, _ := newTestHandler(nil)
		record("front", metrics, PathMetrics, PathMetrics+"?node=store-2", PathMetrics+"?node=nobody")
		failing, _ := newTestHandler(errors.New("refused"))
		record("store that does not answer", failing, PathMetrics+"?node=store-2")
		golden.Assert(t, transcript.String(), "answers.golden")
	})
}
