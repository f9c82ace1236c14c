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

// traceDirectory names an environment variable: the whole traces are written into the directory that it holds, so that
// two versions can be compared line by line.
const traceDirectory = "GOLDEN_TRACE_DIRECTORY"

// TestGoldenTraces plays fixed scenarios in virtual time and compares the hash of everything that the engine did: each
// request at a worker, each call to the message owner and the statistics, with their times. The hashes were recorded
// before the engine was restructured and are never edited: a change here is a change of behaviour.
func TestGoldenTraces(t *testing.T) {
	for _, scenario := range goldenScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var lines []string
			withHarness(t, func(h *harness) {
				recorded := newTrace(h, scenario.name)
				scenario.play(recorded)
				lines = recorded.sorted()
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

// trace plays a scenario and records what the engine does. No two things happen at one moment, as far as the scenario
// can bring it about: goroutines that run at the same moment run in any order.
type trace struct {
	*harness
	random *rand.Rand
	lines  []line
	tries  map[string]int // of a message, by name: the bodies that were read
	seen   map[string]int // of a message, by request: the requests that reached a worker
	mutex  sync.Mutex     // guards lines, tries and seen
}

// line is a line of the trace.
type line struct {
	at   time.Duration
	text string
}

func newTrace(h *harness, name string) *trace {
	recorded := &trace{
		harness: h,
		random:  rand.New(rand.NewPCG(hashOf(name), 1)),
		tries:   map[string]int{},
		seen:    map[string]int{},
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
	r.lines = append(r.lines, line{r.elapsed(), fmt.Sprintf(format, values...)})
}

// sorted returns the trace in order. What happened at one moment stands in the order of its text.
func (r *trace) sorted() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	slices.SortFunc(r.lines, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	var texts []string
	for _, each := range r.lines {
		texts = append(texts, fmt.Sprint(int64(each.at), " ", each.text))
	}
	return texts
}

// bodyRead holds an attempt up for a time of its own, so that attempts which start together go on at different times.
func (r *trace) bodyRead(m *message.Message) {
	r.mutex.Lock()
	r.tries[m.ID]++
	try := r.tries[m.ID]
	r.mutex.Unlock()
	draw := hashOf(fmt.Sprint(m.ID, " ", try))
	time.Sleep(time.Duration(draw%900)*time.Microsecond + time.Duration(m.Sequence))
}

func (r *trace) failed(m *message.Message, failures int) { r.record("failed %s %d", m.ID, failures) }

func (r *trace) ended(m *message.Message, outcome message.Outcome) {
	r.record("ended %s %s %q", m.ID, outcome.State, outcome.Stamp)
}

// behaviour is what a worker does with a request.
type behaviour func(a receivedRequest, answer http.ResponseWriter)

// worker starts a worker that behaves in any of several ways, as the message and the number of its request decide.
func (r *trace) worker(id, service, ip string, behaviours ...behaviour) *fakeWorker {
	fake := r.addWorker(id, service, ip)
	fake.respondWith(func(a receivedRequest, answer http.ResponseWriter) {
		r.mutex.Lock()
		r.seen[a.id]++
		number := r.seen[a.id]
		r.mutex.Unlock()
		r.record("request %s %s %s %s %q", a.worker, a.id, a.key, a.header.Get("X-Deadline-Ms"), a.header.Get("X-Expect-Instance"))
		draw := hashOf(fmt.Sprint(a.id, " ", number, " ", r.t.Name()))
		time.Sleep(time.Duration(draw%60_000)*time.Microsecond + time.Duration(draw>>32%1000))
		behaviours[(draw>>16)%uint64(len(behaviours))](a, answer)
	})
	r.network.SetDelay(storeIP, ip, 0)
	return fake
}

// silent does not answer in time.
func silent(receivedRequest, http.ResponseWriter) {
	time.Sleep(5 * time.Second)
	panic(http.ErrAbortHandler)
}

// submitMany submits messages, one after the other, with random pauses of up to a span between them.
func (r *trace) submitMany(prefix, route string, count int, span time.Duration, changes ...func(*message.Message)) {
	for i := range count {
		r.submit(fmt.Sprintf("%s-%03d", prefix, i), route, changes...)
		r.pause(span)
	}
}

// pause lets a random time pass, of up to a span.
func (r *trace) pause(span time.Duration) {
	time.Sleep(time.Duration(r.random.Int64N(int64(span))) + time.Microsecond)
}

// watch samples the engine's statistics over a span.
func (r *trace) watch(span time.Duration) {
	for until := r.elapsed() + span; r.elapsed() < until; {
		r.pause(400 * time.Millisecond)
		r.sample()
	}
}

// sample records the statistics once the engine has done all that there is to do at this moment.
func (r *trace) sample() {
	synctest.Wait()
	stats := r.engine.Stats()
	r.record("stats %d %d", stats.Queued, stats.InFlight)
	for _, name := range slices.Sorted(maps.Keys(stats.Services)) {
		s := stats.Services[name]
		r.record("stats %s %d %d %d %d %t", name, s.Due, s.Pending, s.ConcurrencyLimit, s.Ready, s.Down)
	}
}

// keyed draws one of several order keys for a message, or none.
func (r *trace) keyed(m *message.Message) {
	if key := r.random.IntN(5); key > 0 {
		m.OrderKey = fmt.Sprint("k", key)
	}
}

// spread draws one of four partitions for a message.
func (r *trace) spread(m *message.Message) { m.Partition = r.random.IntN(4) }

// one configures one route and one service with a limit of attempts and a rate.
func (r *trace) one(version, maxAttempts int, rate float64) {
	r.engine.SetConfiguration(table(r.t, version, []route{{name: "r", service: "s", maxAttempts: maxAttempts}},
		[]service{{name: "s", rate: rate}}))
}
