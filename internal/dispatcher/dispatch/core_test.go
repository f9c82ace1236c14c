// These tests hold the core to its promises with a floor and a roster that do
// whatever the random steps say: one answer a job and in time, one attempt at
// a time, nothing to who leaves. Time is the test's own.
package dispatch_test

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"context"

	"pgregory.net/rapid"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// hall plays floor, roster and clients against a core.
type hall struct {
	mu      sync.Mutex // held by whoever touches the rest: the core's goroutine or the test's
	t       *rapid.T
	core    *dispatch.Core
	out     []*dispatch.Attempt
	sent    map[string]int
	answers map[string][]dispatch.Answer
	jobs    map[string]*dispatch.Job
	until   map[string]time.Time
	gone    map[string]bool
	state   map[string]string
	watches int
	seen    map[string]map[dispatch.EventKind]int // by job, and by job and attempt
}

// See holds what the observer is shown against the order in which things can happen.
func (h *hall) Observe(m *dispatch.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := m.Job.ID
	if m.Attempt != nil {
		name = fmt.Sprint(name, "/", m.Attempt.Number())
	}
	if h.seen[name] == nil {
		h.seen[name] = map[dispatch.EventKind]int{}
	}
	s := h.seen[name]
	before := map[dispatch.EventKind]bool{dispatch.JobAccepted: len(s) == 0, dispatch.AttemptSent: h.seen[m.Job.ID][dispatch.JobAccepted] == 1,
		dispatch.AttemptStarted: s[dispatch.AttemptSent] == 1 && s[dispatch.AttemptEnded] == 0, dispatch.AttemptEnded: s[dispatch.AttemptEnded] == 0,
		dispatch.JobAnswered:  s[dispatch.JobAccepted] == 1 && s[dispatch.JobAnswered]+s[dispatch.JobAbandoned] == 0,
		dispatch.JobAbandoned: s[dispatch.JobAccepted] == 1 && s[dispatch.JobAnswered]+s[dispatch.JobAbandoned] == 0}
	if !before[m.Kind] {
		h.t.Errorf("%s: sight %d is shown after %v", name, m.Kind, s)
	}
	s[m.Kind]++
}

func (h *hall) CloseIdle(config.Worker) {}
func (h *hall) Watch(bool)              { h.mu.Lock(); h.watches++; h.mu.Unlock() }

// apart does something while the core may go on.
func (h *hall) apart(f func()) {
	h.mu.Unlock()
	f()
	h.mu.Lock()
}

// Send is called on the core's goroutine: what it sees is what the core did, in order.
func (h *hall) Send(a *dispatch.Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.out {
		if b.Job == a.Job && b.Context.Err() == nil {
			h.t.Errorf("%s: sent while another attempt is out", a.Job.ID)
		}
	}
	if h.state[a.Worker.ID] != "ready" || !a.MayStart() {
		h.t.Errorf("%s: sent to %s, which is %q", a.Job.ID, a.Worker.ID, h.state[a.Worker.ID])
	}
	if len(h.answers[a.Job.ID]) > 0 || h.gone[a.Job.ID] {
		h.t.Errorf("%s: sent after its end", a.Job.ID)
	}
	if h.sent[a.Job.ID]++; h.sent[a.Job.ID] > 3 {
		h.t.Errorf("%s: sent %d times", a.Job.ID, h.sent[a.Job.ID])
	}
	h.out = append(h.out, a)
}

func TestCoreKeepsItsPromises(t *testing.T) {
	names := []string{"s-00000001", "s-00000002", "s-00000003", "s-00000004"}
	listing := func(state string) (out []config.Worker) {
		for i, name := range names {
			out = append(out, testenv.Listing(name, fmt.Sprint("127.0.1.", i, ":5000"), state))
		}
		return out
	}
	node := testenv.Node(t, listing("ready"), "")
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // a bubble has no deadline to ask for
			h := &hall{t: rt, sent: map[string]int{}, answers: map[string][]dispatch.Answer{}, jobs: map[string]*dispatch.Job{},
				until: map[string]time.Time{}, gone: map[string]bool{}, state: map[string]string{}, seen: map[string]map[dispatch.EventKind]int{}}
			for _, name := range names {
				h.state[name] = "ready"
			}
			var err error
			if h.core, err = dispatch.New(node, new(dispatch.Counters), h, nil, h, nil); err != nil {
				rt.Fatal(err)
			}
			h.core.Observer = h
			ctx, cancel := context.WithCancel(context.Background())
			go h.core.Run(ctx)
			defer cancel()
			h.mu.Lock()
			defer h.mu.Unlock()
			steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "steps")
			for n, step := range steps {
				switch step {
				case 0: // a job arrives
					id := fmt.Sprint("j", n)
					j := &dispatch.Job{ID: id, IdempotencyKey: id, Class: rapid.IntRange(0, 1).Draw(rt, "class"), Tenant: rapid.IntRange(0, 1).Draw(rt, "tenant"),
						Slots: 1, Timeout: time.Duration(rapid.IntRange(1, 5000).Draw(rt, "patience")) * time.Millisecond}
					j.Reply = func(a dispatch.Answer) {
						h.mu.Lock()
						defer h.mu.Unlock()
						h.answers[id] = append(h.answers[id], a)
						if time.Now().After(h.until[id]) {
							rt.Errorf("%s: answered %v late", id, time.Since(h.until[id]))
						}
					}
					h.jobs[id], h.until[id] = j, time.Now().Add(j.Timeout)
					if err := h.core.Submit(j); err != nil {
						rt.Fatal(err)
					}
				case 1, 2: // an attempt ends, perhaps one that nobody waits for any more
					if len(h.out) > 0 {
						i := rapid.IntRange(0, len(h.out)-1).Draw(rt, "attempt")
						a := h.out[i]
						h.out = append(h.out[:i], h.out[i+1:]...)
						if rapid.Bool().Draw(rt, "started") {
							a.ReportProgress(decision.JobStarted, 0)
						}
						o := decision.Outcome(rapid.IntRange(int(decision.OK), int(decision.Reset)).Draw(rt, "outcome"))
						a.End(o, decision.Load{}, []byte(a.Job.ID))
						if rapid.Bool().Draw(rt, "twice") { // a late word on it
							a.End(decision.OK, decision.Load{}, []byte("late"))
						}
					}
				case 3: // time passes
					ms := rapid.IntRange(1, 900).Draw(rt, "ms")
					h.apart(func() { time.Sleep(time.Duration(ms) * time.Millisecond) })
				case 4: // the roster says something
					name := rapid.SampledFrom(names).Draw(rt, "worker")
					state := rapid.SampledFrom([]string{"ready", "draining", "gone", "odd"}).Draw(rt, "state")
					w := testenv.Listing(name, "127.0.1.9:5000", state)
					w.StartedAtMs = rapid.SampledFrom([]int64{0, time.Now().UnixMilli(), time.Now().UnixMilli() + 5000, -1}).Draw(rt, "start")
					h.apart(synctest.Wait)
					h.state[name] = state
					h.core.UpdateWorkers(decision.ListDelta, []config.Worker{w})
				case 5: // a client leaves
					for id, j := range h.jobs {
						h.apart(synctest.Wait)
						if len(h.answers[id]) == 0 {
							h.core.Abandon(j)
							h.apart(synctest.Wait)
							h.gone[id] = true
						}
						break
					}
				}
				h.apart(synctest.Wait)
			}
			h.apart(func() { time.Sleep(6 * time.Second) })
			h.apart(synctest.Wait)
			for id := range h.jobs {
				if s := h.seen[id]; s[dispatch.JobAccepted] != 1 || s[dispatch.JobAnswered]+s[dispatch.JobAbandoned] != 1 || s[dispatch.JobAnswered] != len(h.answers[id]) {
					rt.Errorf("%s: shown as %v, with %d answers", id, s, len(h.answers[id]))
				}
				if n := len(h.answers[id]); n > 1 || n == 0 && !h.gone[id] {
					rt.Errorf("%s: %d answers", id, n)
				}
				for _, a := range h.answers[id] {
					if a.Kind == dispatch.Served && string(a.Result) != id {
						rt.Errorf("%s: served with %q", id, a.Result)
					}
					if a.Kind == dispatch.Rejected && (a.RetryAfter <= 0 || a.RetryAfter > node.Module.MaxRetryAfter) {
						rt.Errorf("%s: refused with %v to wait", id, a.RetryAfter)
					}
				}
			}
			if h.core.OpenJobs() != 0 {
				rt.Errorf("%d jobs left open", h.core.OpenJobs())
			}
			if h.watches == 0 && !slices.Contains(steps, 4) { // a list that came unasked counts as a watch
				rt.Error("the roster was never asked")
			}
		})
	})
}

// The machine's calendar may step and a list may say the same start again: the module must not see a restart in it.
func TestStartsAreConvertedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := testenv.Listing("s-00000001", "127.0.1.1:5000", "ready")
		w.StartedAtMs = time.Now().Add(-2 * time.Second).UnixMilli()
		node := testenv.Node(t, []config.Worker{w}, "")
		h := &hall{sent: map[string]int{}, state: map[string]string{"s-00000001": "ready"}}
		core, err := dispatch.New(node, new(dispatch.Counters), h, nil, h, nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go core.Run(ctx)
		synctest.Wait()
		first := core.Started("s-00000001")
		if age := core.Now() - first; age != 2*time.Second {
			t.Errorf("it started %v ago", age)
		}
		time.Sleep(1500 * time.Microsecond)
		core.UpdateWorkers(decision.ListFull, []config.Worker{w})
		synctest.Wait()
		if again := core.Started("s-00000001"); again != first {
			t.Errorf("its start moved from %v to %v", first, again)
		}
		w.StartedAtMs = time.Now().Add(time.Hour).UnixMilli()
		core.UpdateWorkers(decision.ListFull, []config.Worker{w})
		synctest.Wait()
		if again := core.Started("s-00000001"); again > core.Now() || again <= first {
			t.Errorf("a start to come counts as %v at %v", again, core.Now())
		}
	})
}

// Beyond the limit on open jobs nothing is taken: the front refuses by itself, and nobody is sent anything.
func TestOpenJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := *testenv.Node(t, nil, "")
		node.Limits.OpenJobs = 2
		h := &hall{sent: map[string]int{}}
		core, err := dispatch.New(&node, new(dispatch.Counters), h, nil, h, nil)
		if err != nil {
			t.Fatal(err)
		}
		replies := 0
		for i := range 3 { // the core does not run yet: all stay open
			err := core.Submit(&dispatch.Job{ID: fmt.Sprint(i), Timeout: time.Second, Reply: func(dispatch.Answer) { replies++ }})
			if (err != nil) != (i == 2) {
				t.Errorf("job %d: %v", i, err)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go core.Run(ctx)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if replies != 2 || core.OpenJobs() != 0 {
			t.Errorf("%d answers, %d open", replies, core.OpenJobs())
		}
	})
}
