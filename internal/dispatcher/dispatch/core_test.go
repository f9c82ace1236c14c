// These tests hold the core to its invariants with a transport and a list of workers that do whatever the random steps
// say: one answer a job and in time, one attempt at a time, nothing to a worker that leaves. Time is the test's own.
package dispatch_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// surroundings play the transport, the watch on the list of workers, the observer and the clients of a core.
type surroundings struct {
	mu       sync.Mutex // held by whoever touches the rest: the core's goroutine or the test's
	t        *rapid.T
	core     *dispatch.Core
	out      []*dispatch.Attempt // without an outcome yet
	sends    map[string]int      // by job
	answers  map[string][]dispatch.Answer
	jobs     map[string]*dispatch.Job
	deadline map[string]time.Time // by job
	left     map[string]bool      // the jobs whose clients have left
	state    map[string]string    // by worker, as the list says
	watches  int
	events   map[string]map[dispatch.EventKind]int // by job, and by job and attempt
}

// Observe holds what the observer is shown against the order in which things can happen.
func (s *surroundings) Observe(e *dispatch.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := e.Job.ID
	if e.Attempt != nil {
		name = fmt.Sprint(name, "/", e.Attempt.Number())
	}
	if s.events[name] == nil {
		s.events[name] = map[dispatch.EventKind]int{}
	}
	before := s.events[name]
	unanswered := before[dispatch.JobAccepted] == 1 && before[dispatch.JobAnswered]+before[dispatch.JobAbandoned] == 0
	possible := map[dispatch.EventKind]bool{
		dispatch.JobAccepted:    len(before) == 0,
		dispatch.AttemptSent:    s.events[e.Job.ID][dispatch.JobAccepted] == 1,
		dispatch.AttemptStarted: before[dispatch.AttemptSent] == 1 && before[dispatch.AttemptEnded] == 0,
		dispatch.AttemptEnded:   before[dispatch.AttemptEnded] == 0,
		dispatch.JobAnswered:    unanswered,
		dispatch.JobAbandoned:   unanswered,
	}
	if !possible[e.Kind] {
		s.t.Errorf("%s: event %d is shown after %v", name, e.Kind, before)
	}
	before[e.Kind]++
}

func (s *surroundings) CloseIdle(config.Worker) {}

func (s *surroundings) Watch(bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
}

// unlocked does something while the core may go on.
func (s *surroundings) unlocked(f func()) {
	s.mu.Unlock()
	f()
	s.mu.Lock()
}

// Send is called on the core's goroutine: what it sees is what the core did, in order.
func (s *surroundings) Send(a *dispatch.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.out {
		if b.Job == a.Job && b.Context.Err() == nil {
			s.t.Errorf("%s: sent while another attempt is out", a.Job.ID)
		}
	}
	if s.state[a.Worker.ID] != "ready" || !a.MayStart() {
		s.t.Errorf("%s: sent to %s, which is %q", a.Job.ID, a.Worker.ID, s.state[a.Worker.ID])
	}
	if len(s.answers[a.Job.ID]) > 0 || s.left[a.Job.ID] {
		s.t.Errorf("%s: sent after its end", a.Job.ID)
	}
	if s.sends[a.Job.ID]++; s.sends[a.Job.ID] > 3 {
		s.t.Errorf("%s: sent %d times", a.Job.ID, s.sends[a.Job.ID])
	}
	s.out = append(s.out, a)
}

// The random steps.
const (
	stepSubmit = iota
	stepEndAttempt
	stepEndAttemptToo // twice as often as the others
	stepSleep
	stepList
	stepAbandon
	lastStep = stepAbandon
)

var workerNames = []string{"s-00000001", "s-00000002", "s-00000003", "s-00000004"}

func TestCoreInvariantsUnderRandomSteps(t *testing.T) {
	var list []config.Worker
	for i, name := range workerNames {
		list = append(list, testenv.Worker(name, fmt.Sprint("127.0.1.", i, ":5000"), "ready"))
	}
	node := testenv.Node(t, list, "")
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // a bubble has no deadline to ask for
			s := &surroundings{
				t:        rt,
				sends:    map[string]int{},
				answers:  map[string][]dispatch.Answer{},
				jobs:     map[string]*dispatch.Job{},
				deadline: map[string]time.Time{},
				left:     map[string]bool{},
				state:    map[string]string{},
				events:   map[string]map[dispatch.EventKind]int{},
			}
			for _, name := range workerNames {
				s.state[name] = "ready"
			}
			var err error
			if s.core, err = dispatch.New(node, new(dispatch.Counters), s, nil, s, nil); err != nil {
				rt.Fatal(err)
			}
			s.core.Observer = s
			ctx, cancel := context.WithCancel(context.Background())
			go s.core.Run(ctx)
			defer cancel()
			s.mu.Lock()
			defer s.mu.Unlock()
			steps := rapid.SliceOfN(rapid.IntRange(0, lastStep), 1, 60).Draw(rt, "steps")
			for n, step := range steps {
				s.step(n, step)
				s.unlocked(synctest.Wait)
			}
			s.unlocked(func() { time.Sleep(6 * time.Second) })
			s.unlocked(synctest.Wait)
			s.checkEnd(node.Module.MaxRetryAfter)
			if s.watches == 0 && !slices.Contains(steps, stepList) { // a list that came unasked counts as a watch
				rt.Error("the list of workers was never asked for")
			}
		})
	})
}

// step does the nth step.
func (s *surroundings) step(n, step int) {
	switch step {
	case stepSubmit:
		s.submit(fmt.Sprint("j", n))
	case stepEndAttempt, stepEndAttemptToo:
		s.endAttempt()
	case stepSleep:
		ms := rapid.IntRange(1, 900).Draw(s.t, "ms")
		s.unlocked(func() { time.Sleep(time.Duration(ms) * time.Millisecond) })
	case stepList:
		s.updateList()
	case stepAbandon:
		s.abandon()
	}
}

func (s *surroundings) submit(id string) {
	j := &dispatch.Job{
		ID:             id,
		IdempotencyKey: id,
		Class:          rapid.IntRange(0, 1).Draw(s.t, "class"),
		Tenant:         rapid.IntRange(0, 1).Draw(s.t, "tenant"),
		Slots:          1,
		Timeout:        time.Duration(rapid.IntRange(1, 5000).Draw(s.t, "timeout")) * time.Millisecond,
	}
	j.Reply = func(a dispatch.Answer) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers[id] = append(s.answers[id], a)
		if time.Now().After(s.deadline[id]) {
			s.t.Errorf("%s: answered %v late", id, time.Since(s.deadline[id]))
		}
	}
	s.jobs[id], s.deadline[id] = j, time.Now().Add(j.Timeout)
	if err := s.core.Submit(j); err != nil {
		s.t.Fatal(err)
	}
}

// endAttempt ends an attempt that is out, perhaps one that nobody waits for any more.
func (s *surroundings) endAttempt() {
	if len(s.out) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.out)-1).Draw(s.t, "attempt")
	a := s.out[i]
	s.out = append(s.out[:i], s.out[i+1:]...)
	if rapid.Bool().Draw(s.t, "started") {
		a.ReportProgress(decision.JobStarted, 0)
	}
	o := decision.Outcome(rapid.IntRange(int(decision.OK), int(decision.Reset)).Draw(s.t, "outcome"))
	a.End(o, decision.Load{}, []byte(a.Job.ID))
	if rapid.Bool().Draw(s.t, "twice") { // a late report on it
		a.End(decision.OK, decision.Load{}, []byte("late"))
	}
}

// updateList lets discovery say something about a worker.
func (s *surroundings) updateList() {
	name := rapid.SampledFrom(workerNames).Draw(s.t, "worker")
	state := rapid.SampledFrom([]string{"ready", "draining", "gone", "odd"}).Draw(s.t, "state")
	w := testenv.Worker(name, "127.0.1.9:5000", state)
	w.StartedAtMs = rapid.SampledFrom([]int64{0, time.Now().UnixMilli(), time.Now().UnixMilli() + 5000, -1}).Draw(s.t, "start")
	s.unlocked(synctest.Wait)
	s.state[name] = state
	s.core.UpdateWorkers(decision.ListDelta, []config.Worker{w})
}

// abandon lets a client leave.
func (s *surroundings) abandon() {
	for id, j := range s.jobs {
		s.unlocked(synctest.Wait)
		if len(s.answers[id]) == 0 {
			s.core.Abandon(j)
			s.unlocked(synctest.Wait)
			s.left[id] = true
		}
		break
	}
}

// checkEnd checks what must hold once all jobs are over.
func (s *surroundings) checkEnd(maxRetryAfter time.Duration) {
	for id := range s.jobs {
		if e := s.events[id]; e[dispatch.JobAccepted] != 1 || e[dispatch.JobAnswered]+e[dispatch.JobAbandoned] != 1 || e[dispatch.JobAnswered] != len(s.answers[id]) {
			s.t.Errorf("%s: shown as %v, with %d answers", id, e, len(s.answers[id]))
		}
		if n := len(s.answers[id]); n > 1 || n == 0 && !s.left[id] {
			s.t.Errorf("%s: %d answers", id, n)
		}
		for _, a := range s.answers[id] {
			if a.Kind == dispatch.Served && string(a.Result) != id {
				s.t.Errorf("%s: served with %q", id, a.Result)
			}
			if a.Kind == dispatch.Rejected && (a.RetryAfter <= 0 || a.RetryAfter > maxRetryAfter) {
				s.t.Errorf("%s: rejected with %v to wait", id, a.RetryAfter)
			}
		}
	}
	if s.core.OpenJobs() != 0 {
		s.t.Errorf("%d jobs left open", s.core.OpenJobs())
	}
}

// The machine's calendar may step and a list may say the same start again: the module must not see a restart in it.
func TestWorkerStartIsConvertedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := testenv.Worker("s-00000001", "127.0.1.1:5000", "ready")
		w.StartedAtMs = time.Now().Add(-2 * time.Second).UnixMilli()
		node := testenv.Node(t, []config.Worker{w}, "")
		s := &surroundings{sends: map[string]int{}, state: map[string]string{"s-00000001": "ready"}}
		core, err := dispatch.New(node, new(dispatch.Counters), s, nil, s, nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go core.Run(ctx)
		synctest.Wait()
		first := core.WorkerStart("s-00000001")
		if age := core.Now() - first; age != 2*time.Second {
			t.Errorf("it started %v ago", age)
		}
		time.Sleep(1500 * time.Microsecond)
		core.UpdateWorkers(decision.ListFull, []config.Worker{w})
		synctest.Wait()
		if again := core.WorkerStart("s-00000001"); again != first {
			t.Errorf("its start moved from %v to %v", first, again)
		}
		w.StartedAtMs = time.Now().Add(time.Hour).UnixMilli()
		core.UpdateWorkers(decision.ListFull, []config.Worker{w})
		synctest.Wait()
		if again := core.WorkerStart("s-00000001"); again > core.Now() || again <= first {
			t.Errorf("a start to come counts as %v at %v", again, core.Now())
		}
	})
}

// Beyond the limit on open jobs nothing is taken: the front rejects by itself, and nobody is sent anything.
func TestOpenJobsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := *testenv.Node(t, nil, "")
		node.Limits.OpenJobs = 2
		s := &surroundings{sends: map[string]int{}}
		core, err := dispatch.New(&node, new(dispatch.Counters), s, nil, s, nil)
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
