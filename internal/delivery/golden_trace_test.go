package delivery_test

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

// traceDirectory is the name of an environment variable. If it is set, the test writes the whole traces into the
// directory that it names, so that the traces of two versions can be compared line by line.
const traceDirectory = "GOLDEN_TRACE_DIRECTORY"

// TestGoldenTraces guards against unintended changes of the engine's behaviour. It runs fixed scenarios in virtual time
// and compares the hash of everything that the engine does: each request at a worker, each call to the owner, and the
// statistics, with their times. The hashes were recorded before the engine was restructured and are never edited: a
// different hash is a change of behaviour.
func TestGoldenTraces(t *testing.T) {
	for _, scenario := range goldenScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var lines []string
			withHarness(t, func(h *harness) {
				recorded := newTrace(h, scenario.name)
				scenario.play(recorded)
				lines = recorded.sortedLines()
			})
			text := strings.Join(lines, "\n")
			if directory := os.Getenv(traceDirectory); directory != "" {
				name := strings.ReplaceAll(scenario.name, " ", "-") + ".txt"
				assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(text+"\n"), 0o600))
			}
			sum := sha256.Sum256([]byte(text))
			assert.Equal(t, hex.EncodeToString(sum[:8]), scenario.hash, "%d lines", len(lines))
		})
	}
}

// trace runs a scenario and records what the engine does. Goroutines that run at the same moment run in any order, so
// the scenario avoids simultaneous events as far as it can.
type trace struct {
	*harness
	random        *rand.Rand
	lines         []traceLine
	bodyReads     map[string]int // by message id: how often its body was read
	requestCounts map[string]int // by request id: how many requests reached a worker
	mutex         sync.Mutex     // guards lines, bodyReads and requestCounts
}

// traceLine is one recorded event with its time.
type traceLine struct {
	at   time.Duration
	text string
}

func newTrace(h *harness, name string) *trace {
	recorded := &trace{
		harness:       h,
		random:        rand.New(rand.NewPCG(hashOf(name), 1)),
		bodyReads:     map[string]int{},
		requestCounts: map[string]int{},
	}
	h.owner.observer = recorded
	return recorded
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

func (r *trace) record(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lines = append(r.lines, traceLine{r.elapsed(), fmt.Sprintf(format, values...)})
}

// sortedLines returns the recorded lines by time. Lines of the same moment are sorted by their text.
func (r *trace) sortedLines() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slices.SortFunc(r.lines, func(a, b traceLine) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	var texts []string
	for _, each := range r.lines {
		texts = append(texts, fmt.Sprint(int64(each.at), " ", each.text))
	}
	return texts
}

// bodyRead delays each attempt by a different time, so that attempts that start together continue at different times.
func (r *trace) bodyRead(m *message.Message) {
	r.mutex.Lock()
	r.bodyReads[m.ID]++
	try := r.bodyReads[m.ID]
	r.mutex.Unlock()
	draw := hashOf(fmt.Sprint(m.ID, " ", try))
	time.Sleep(time.Duration(draw%900)*time.Microsecond + time.Duration(m.Sequence))
}

func (r *trace) failed(m *message.Message, failures int) { r.record("failed %s %d", m.ID, failures) }

func (r *trace) ended(m *message.Message, outcome message.Outcome) {
	r.record("ended %s %s %q", m.ID, outcome.State, outcome.Stamp)
}

// behaviour is how a worker responds to a request.
type behaviour func(request receivedRequest, writer http.ResponseWriter)

// worker starts a worker with several behaviours. The message and the number of the request determine which one it
// shows.
func (r *trace) worker(id, service, ip string, behaviours ...behaviour) *fakeWorker {
	fake := r.addWorker(id, service, ip)
	fake.respondWith(func(request receivedRequest, writer http.ResponseWriter) {
		r.mutex.Lock()
		r.requestCounts[request.id]++
		number := r.requestCounts[request.id]
		r.mutex.Unlock()
		r.record("request %s %s %s %s %q", request.worker, request.id, request.key,
			request.header.Get("X-Deadline-Ms"), request.header.Get("X-Expect-Instance"))
		draw := hashOf(fmt.Sprint(request.id, " ", number, " ", r.t.Name()))
		time.Sleep(time.Duration(draw%60_000)*time.Microsecond + time.Duration(draw>>32%1000))
		behaviours[(draw>>16)%uint64(len(behaviours))](request, writer)
	})
	r.network.SetDelay(storeIP, ip, 0)
	return fake
}

// silent does not respond in time.
func silent(receivedRequest, http.ResponseWriter) {
	time.Sleep(5 * time.Second)
	panic(http.ErrAbortHandler)
}

// submitMany submits messages one after the other, with random pauses of at most span between them.
func (r *trace) submitMany(prefix, route string, count int, span time.Duration, changes ...func(*message.Message)) {
	for i := range count {
		r.submit(fmt.Sprintf("%s-%03d", prefix, i), route, changes...)
		r.sleepUpTo(span)
	}
}

// sleepUpTo sleeps for a random time of at most span.
func (r *trace) sleepUpTo(span time.Duration) {
	time.Sleep(time.Duration(r.random.Int64N(int64(span))) + time.Microsecond)
}

// sampleFor samples the engine's statistics for a time.
func (r *trace) sampleFor(span time.Duration) {
	for until := r.elapsed() + span; r.elapsed() < until; {
		r.sleepUpTo(400 * time.Millisecond)
		r.sample()
	}
}

// sample records the engine's statistics once all goroutines are blocked.
func (r *trace) sample() {
	synctest.Wait()
	stats := r.engine.Stats()
	r.record("stats %d %d", stats.Queued, stats.InFlight)
	for _, name := range slices.Sorted(maps.Keys(stats.Services)) {
		s := stats.Services[name]
		r.record("stats %s %d %d %d %d %t", name, s.Due, s.Pending, s.ConcurrencyLimit, s.Ready, s.Down)
	}
}

// randomKey gives a message one of four order keys, or none.
func (r *trace) randomKey(m *message.Message) {
	if key := r.random.IntN(5); key > 0 {
		m.OrderKey = fmt.Sprint("k", key)
	}
}

// randomPartition gives a message one of four partitions.
func (r *trace) randomPartition(m *message.Message) { m.Partition = r.random.IntN(4) }

// configureRoute configures one route and one service, with the given attempts per message and rate limit.
func (r *trace) configureRoute(version, maxAttempts int, rate float64) {
	r.engine.SetConfiguration(table(r.t, version, []route{{name: "r", service: "s", maxAttempts: maxAttempts}},
		[]service{{name: "s", rate: rate}}))
}
