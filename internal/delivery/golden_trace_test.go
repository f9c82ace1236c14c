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
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
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
	recorded := &trace{harness: h, random: rand.New(rand.NewPCG(hashOf(name), 1)), tries: map[string]int{}, seen: map[string]int{}}
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

func (r *trace) sample() {
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

var goldenScenarios = []struct {
	name string
	hash string
	play func(r *trace)
}{
	{"deliveries", "9e55ffca358524b1", func(r *trace) {
		r.three(succeed)
		r.submitMany("m", "r", 150, 12*time.Millisecond)
		r.watch(5 * time.Second)
	}},
	{"overload", "e3f138b8ae9418c4", func(r *trace) {
		r.three(succeedAfter(150 * time.Millisecond))
		r.submitMany("m", "r", 300, 4*time.Millisecond, r.keyed)
		r.watch(15 * time.Second)
	}},
	{"failures 500", "bc477b8ee95f63fa", func(r *trace) {
		r.three(answerWith(500), succeed, answerWith(500))
		r.submitMany("m", "r", 60, 40*time.Millisecond)
		r.watch(5 * time.Second)
	}},
	{"rejections 422", "baf35a5421fc6b68", func(r *trace) {
		r.three(answerWith(422), succeed)
		r.submitMany("m", "r", 60, 40*time.Millisecond, r.keyed)
		r.watch(5 * time.Second)
	}},
	{"not run", "ee53361672a8dd5b", func(r *trace) {
		r.three(answerWith(503), answerWith(429), answerWith(409), answerWith(400), succeed, succeed, succeed)
		r.submitMany("m", "r", 60, 60*time.Millisecond)
		r.watch(20 * time.Second)
	}},
	{"wrong worker", "698562b09211c929", func(r *trace) {
		r.three(answerWith(421), succeed, succeed, succeed, succeed, succeed)
		r.submitMany("m", "r", 60, 100*time.Millisecond)
		r.watch(10 * time.Second)
	}},
	{"resets", "46f11870c0275843", func(r *trace) {
		r.three(abort, succeed)
		r.submitMany("m", "r", 60, 40*time.Millisecond)
		r.watch(10 * time.Second)
	}},
	{"silence", "9ea54faffead730d", func(r *trace) {
		r.three(silent, answerWith(504), succeed, succeed)
		r.submitMany("m", "r", 40, 60*time.Millisecond)
		r.watch(20 * time.Second)
	}},
	{"order by key", "cecd47b5d355769e", func(r *trace) {
		r.three(succeed, succeed, answerWith(500), abort, answerWith(503))
		r.submitMany("m", "r", 120, 20*time.Millisecond, r.keyed, r.spread)
		r.watch(20 * time.Second)
	}},
	{"delays", "16e6b82841ceaec6", func(r *trace) {
		r.three(succeed)
		r.submitMany("m", "r", 80, 20*time.Millisecond, r.keyed, func(m *message.Message) {
			m.DueAt = m.DueAt.Add(time.Duration(r.random.Int64N(int64(8 * time.Second))))
		})
		r.watch(10 * time.Second)
	}},
	{"expiry", "b4a5cca742bb460b", func(r *trace) {
		r.one(version, 3, 0)
		r.submitMany("m", "r", 60, 30*time.Millisecond, r.keyed, r.spread, func(m *message.Message) {
			m.ExpiresAt = m.DueAt.Add(time.Second + time.Duration(r.random.Int64N(int64(9*time.Second))))
		})
		r.watch(5 * time.Second)
		r.worker("i-1", "s", "10.0.1.1", succeed, answerWith(503))
		r.listAll()
		r.watch(6 * time.Second)
	}},
	{"dropped routes", "076315eefaed6af2", func(r *trace) {
		both := []route{{name: "r", service: "s"}, {name: "q", service: "s"}}
		r.engine.SetConfiguration(table(r.t, version, both, []service{{name: "s"}}))
		for i := range 40 {
			r.submit(fmt.Sprint("m-", i), []string{"r", "q", "new"}[i%3], r.keyed, r.spread, func(m *message.Message) {
				if m.Route == "new" {
					m.ConfigVersion = version + 2
				}
			})
			r.pause(20 * time.Millisecond)
		}
		r.watch(time.Second)
		r.one(version+1, 3, 0)
		r.watch(time.Second)
		r.worker("i-1", "s", "10.0.1.1", succeed)
		r.listAll()
		r.watch(3 * time.Second)
		r.engine.SetConfiguration(table(r.t, version+2, []route{{name: "new", service: "s"}}, []service{{name: "s"}}))
		r.watch(3 * time.Second)
	}},
	{"rate limits", "94b32beefd434752", func(r *trace) {
		r.three(succeed, answerWith(500), answerWith(429), succeed)
		r.engine.SetDeliverers(2)
		r.one(version+1, 3, 40)
		r.submitMany("m", "r", 150, 12*time.Millisecond)
		r.watch(3 * time.Second)
		r.engine.SetDeliverers(5)
		r.watch(5 * time.Second)
		r.one(version+2, 3, 200)
		r.watch(10 * time.Second)
	}},
	{"worker list changes", "f3f2b61d0d0a1fe6", (*trace).changeWorkers},
	{"partitions", "a10236d4dbccf7b0", (*trace).changePartitions},
	{"down and back", "bf515389eb1efc39", func(r *trace) {
		r.three(succeed)
		for _, fake := range r.workers {
			fake.stop()
		}
		r.submitMany("m", "r", 50, 20*time.Millisecond, r.keyed)
		r.watch(8 * time.Second)
		for _, fake := range r.workers[1:] {
			fake.run()
			r.pause(2 * time.Second)
		}
		r.watch(5 * time.Second)
	}},
	{"unreachable", "d45861b2ed53d002", func(r *trace) {
		r.three(succeed)
		r.network.Isolate(storeIP, "10.0.1.2")
		r.submitMany("m", "r", 50, 40*time.Millisecond, r.spread)
		r.network.Heal(storeIP, "10.0.1.2")
		r.watch(5 * time.Second)
	}},
	{"services and static endpoint", "603688cd63575fd0", func(r *trace) {
		r.worker("i-1", "s", "10.0.1.1", succeed)
		r.worker("i-2", "s", "10.0.1.2", succeed, answerWith(500))
		fixed := r.worker("fixed", "t", "10.0.1.9", succeed, succeed, answerWith(503))
		r.engine.SetConfiguration(table(r.t, version, []route{{name: "r", service: "s"}, {name: "q", service: "s"}, {name: "t", service: "t"}},
			[]service{{name: "s", maxConnections: 6}, {name: "t", static: fixed.listed.Address, maxConnections: 3}}))
		r.listAll()
		for i := range 90 {
			r.submit(fmt.Sprint("m-", i), []string{"r", "q", "t"}[i%3], r.keyed)
			r.pause(20 * time.Millisecond)
		}
		r.watch(8 * time.Second)
	}},
}

// three starts three workers of a service and configures it.
func (r *trace) three(behaviours ...behaviour) {
	for i := range 3 {
		r.worker(fmt.Sprint("i-", i+1), "s", fmt.Sprint("10.0.1.", i+1), behaviours...)
	}
	r.one(version, 3, 0)
	r.listAll()
}

// changeWorkers has workers come, drain, leave, move to another address and come back.
func (r *trace) changeWorkers() {
	r.three(succeed, succeed, answerWith(503))
	far := r.worker("i-4", "s", "10.0.1.4", succeed)
	far.listed.Zone = "b"
	for step := range 40 {
		r.submitMany(fmt.Sprint("m-", step), "r", 4, 20*time.Millisecond, r.keyed)
		chosen := r.workers[r.random.IntN(len(r.workers))]
		chosen.listed.Draining = !chosen.listed.Draining
		var list []cluster.Worker
		for i, fake := range r.workers {
			if (step/4+i)%5 != 0 {
				list = append(list, fake.listed)
			}
		}
		if step%7 == 3 {
			list[0].Address = "10.0.1.7" + workerPort // where nobody listens
		}
		r.network.SetDelay(storeIP, "10.0.1.7", 0)
		r.engine.SetWorkers(list)
		r.watch(200 * time.Millisecond)
	}
	for _, fake := range r.workers {
		fake.listed.Draining = false
	}
	r.listAll()
	r.watch(5 * time.Second)
}

// changePartitions pauses, blocks and releases partitions while messages are out.
func (r *trace) changePartitions() {
	r.three(succeed, succeedAfter(200*time.Millisecond))
	var all []*message.Message
	for step := range 60 {
		for i := range 3 {
			all = append(all, r.submit(fmt.Sprint("m-", step, "-", i), "r", r.keyed, r.spread))
			r.pause(20 * time.Millisecond)
		}
		partition := r.random.IntN(4)
		switch r.random.IntN(6) {
		case 0:
			r.engine.PausePartition(partition)
			r.pause(300 * time.Millisecond)
			r.engine.ResumePartition(partition)
		case 1:
			r.owner.block(partition, true)
			r.pause(300 * time.Millisecond)
			r.owner.block(partition, false)
		case 2, 3:
			r.engine.Release(partition)
			r.pause(60 * time.Millisecond)
			for _, m := range all {
				if m.Partition == partition && r.owner.state(m.ID) == message.Queued {
					r.engine.Submit(m, len(r.owner.failuresOf(m.ID)))
					r.pause(time.Millisecond)
				}
			}
		case 4:
			r.engine.Pause()
			r.pause(300 * time.Millisecond)
			r.engine.Resume()
		}
		r.sample()
	}
	r.watch(5 * time.Second)
}
