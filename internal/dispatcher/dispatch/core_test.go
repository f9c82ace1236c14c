// These tests check the invariants of the core against a transport and a list of workers that take random steps: one
// answer per job, by its deadline; one attempt at a time; nothing sent to a leaving worker. They run in synthetic time.
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

func init() { flag.Set("rapid.seed", "20261201") } // the same random steps in every run

// fakeEnvironment is the transport, the list watcher, the observer and the clients of a core.
type fakeEnvironment struct {
	mu        sync.Mutex // guards the other fields against the core's goroutine and the test's
	t         *rapid.T
	core      *dispatch.Core
	inFlight  []*dispatch.Attempt // attempts without an outcome yet
	sends     map[string]int      // by job
	answers   map[string][]dispatch.Answer
	jobs      map[string]*dispatch.Job
	deadline  map[string]time.Time // by job
	abandoned map[string]bool      // jobs whose clients have disconnected
	state     map[string]string    // by worker, as in the list
	watches   int
	events    map[string]map[dispatch.EventKind]int // by job ID, and by job ID and attempt number
}

// Observe checks that events arrive in a possible order.
func (env *fakeEnvironment) Observe(e *dispatch.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	name := e.Job.ID
	if e.Attempt != nil {
		name = fmt.Sprint(name, "/", e.Attempt.Number())
	}
	if env.events[name] == nil {
		env.events[name] = map[dispatch.EventKind]int{}
	}
	before := env.events[name]
	unanswered := before[dispatch.JobAccepted] == 1 && before[dispatch.JobAnswered]+before[dispatch.JobAbandoned] == 0
	possible := map[dispatch.EventKind]bool{
		dispatch.JobAccepted:    len(before) == 0,
		dispatch.AttemptSent:    env.events[e.Job.ID][dispatch.JobAccepted] == 1,
		dispatch.AttemptStarted: before[dispatch.AttemptSent] == 1 && before[dispatch.AttemptEnded] == 0,
		dispatch.AttemptEnded:   before[dispatch.AttemptEnded] == 0,
		dispatch.JobAnswered:    unanswered,
		dispatch.JobAbandoned:   unanswered,
	}
	if !possible[e.Kind] {
		env.t.Errorf("%s: got event %d after events %v", name, e.Kind, before)
	}
	before[e.Kind]++
}

func (env *fakeEnvironment) CloseIdle(config.Worker) {}

func (env *fakeEnvironment) Watch(bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.watches++
}

// withoutLock runs f with the lock released, so that the core can proceed.
func (env *fakeEnvironment) withoutLock(f func()) {
	env.mu.Unlock()
	f()
	env.mu.Lock()
}

// Send runs on the core's goroutine, so it sees the attempts in the order in which the core starts them.
func (env *fakeEnvironment) Send(a *dispatch.Attempt) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, other := range env.inFlight {
		if other.Job == a.Job && other.Context.Err() == nil {
			env.t.Errorf("%s: sent while another attempt is in flight", a.Job.ID)
		}
	}
	if env.state[a.Worker.ID] != "ready" || !a.MayStart() {
		env.t.Errorf("%s: sent to worker %s in state %q", a.Job.ID, a.Worker.ID, env.state[a.Worker.ID])
	}
	if len(env.answers[a.Job.ID]) > 0 || env.abandoned[a.Job.ID] {
		env.t.Errorf("%s: sent after it was answered or abandoned", a.Job.ID)
	}
	if env.sends[a.Job.ID]++; env.sends[a.Job.ID] > 3 {
		env.t.Errorf("%s: sent %d times, want at most 3", a.Job.ID, env.sends[a.Job.ID])
	}
	env.inFlight = append(env.inFlight, a)
}

// The random steps.
const (
	stepSubmit = iota
	stepEndAttempt
	stepEndAttemptAgain // the same step, so that it is twice as likely as the others
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
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // hides t.Deadline, which panics in a synctest bubble
			env := &fakeEnvironment{
				t:         rt,
				sends:     map[string]int{},
				answers:   map[string][]dispatch.Answer{},
				jobs:      map[string]*dispatch.Job{},
				deadline:  map[string]time.Time{},
				abandoned: map[string]bool{},
				state:     map[string]string{},
				events:    map[string]map[dispatch.EventKind]int{},
			}
			for _, name := range workerNames {
				env.state[name] = "ready"
			}
			var err error
			if env.core, err = dispatch.New(node, new(dispatch.Counters), env, nil, env, nil); err != nil {
				rt.Fatal(err)
			}
			env.core.Observer = env
			ctx, cancel := context.WithCancel(context.Background())
			go env.core.Run(ctx)
			defer cancel()
			env.mu.Lock()
			defer env.mu.Unlock()
			steps := rapid.SliceOfN(rapid.IntRange(0, lastStep), 1, 60).Draw(rt, "steps")
			for n, step := range steps {
				env.step(n, step)
				env.withoutLock(synctest.Wait)
			}
			env.withoutLock(func() { time.Sleep(6 * time.Second) })
			env.withoutLock(synctest.Wait)
			env.checkFinalState(node.Module.MaxRetryAfter)
			if env.watches == 0 && !slices.Contains(steps, stepList) { // an unrequested list replaces the request
				rt.Error("the core never requested a watch on the list of workers")
			}
		})
	})
}

// step executes the nth step.
func (env *fakeEnvironment) step(n, step int) {
	switch step {
	case stepSubmit:
		env.submit(fmt.Sprint("j", n))
	case stepEndAttempt, stepEndAttemptAgain:
		env.endAttempt()
	case stepSleep:
		ms := rapid.IntRange(1, 900).Draw(env.t, "ms")
		env.withoutLock(func() { time.Sleep(time.Duration(ms) * time.Millisecond) })
	case stepList:
		env.updateList()
	case stepAbandon:
		env.abandon()
	}
}

func (env *fakeEnvironment) submit(id string) {
	j := &dispatch.Job{
		ID:             id,
		IdempotencyKey: id,
		Class:          rapid.IntRange(0, 1).Draw(env.t, "class"),
		Tenant:         rapid.IntRange(0, 1).Draw(env.t, "tenant"),
		Slots:          1,
		Timeout:        time.Duration(rapid.IntRange(1, 5000).Draw(env.t, "timeout")) * time.Millisecond,
	}
	j.Reply = func(a dispatch.Answer) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.answers[id] = append(env.answers[id], a)
		if time.Now().After(env.deadline[id]) {
			env.t.Errorf("%s: answered %v after its deadline", id, time.Since(env.deadline[id]))
		}
	}
	env.jobs[id], env.deadline[id] = j, time.Now().Add(j.Timeout)
	if err := env.core.Submit(j); err != nil {
		env.t.Fatal(err)
	}
}

// endAttempt ends a random attempt in flight, possibly one that was cancelled or has expired.
func (env *fakeEnvironment) endAttempt() {
	if len(env.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(env.inFlight)-1).Draw(env.t, "attempt")
	a := env.inFlight[i]
	env.inFlight = append(env.inFlight[:i], env.inFlight[i+1:]...)
	if rapid.Bool().Draw(env.t, "started") {
		a.ReportProgress(decision.JobStarted, 0)
	}
	o := decision.Outcome(rapid.IntRange(int(decision.OK), int(decision.Reset)).Draw(env.t, "outcome"))
	a.End(o, decision.Load{}, []byte(a.Job.ID))
	if rapid.Bool().Draw(env.t, "twice") { // a second, late outcome
		a.End(decision.OK, decision.Load{}, []byte("late"))
	}
}

// updateList sends the core a random list entry for a worker.
func (env *fakeEnvironment) updateList() {
	name := rapid.SampledFrom(workerNames).Draw(env.t, "worker")
	state := rapid.SampledFrom([]string{"ready", "draining", "gone", "odd"}).Draw(env.t, "state")
	w := testenv.Worker(name, "127.0.1.9:5000", state)
	w.StartedAtMs = rapid.SampledFrom([]int64{0, time.Now().UnixMilli(), time.Now().UnixMilli() + 5000, -1}).Draw(env.t, "start")
	env.withoutLock(synctest.Wait)
	env.state[name] = state
	env.core.UpdateWorkers(decision.ListDelta, []config.Worker{w})
}

// abandon disconnects the client of a job that has no answer.
func (env *fakeEnvironment) abandon() {
	for id, j := range env.jobs {
		env.withoutLock(synctest.Wait)
		if len(env.answers[id]) == 0 {
			env.core.Abandon(j)
			env.withoutLock(synctest.Wait)
			env.abandoned[id] = true
		}
		break
	}
}

// checkFinalState checks the invariants that hold once all jobs are answered or abandoned.
func (env *fakeEnvironment) checkFinalState(maxRetryAfter time.Duration) {
	for id := range env.jobs {
		if e := env.events[id]; e[dispatch.JobAccepted] != 1 || e[dispatch.JobAnswered]+e[dispatch.JobAbandoned] != 1 || e[dispatch.JobAnswered] != len(env.answers[id]) {
			env.t.Errorf("%s: events %v do not match %d answers", id, e, len(env.answers[id]))
		}
		if n := len(env.answers[id]); n > 1 || n == 0 && !env.abandoned[id] {
			env.t.Errorf("%s: got %d answers", id, n)
		}
		for _, a := range env.answers[id] {
			if a.Kind == dispatch.Served && string(a.Result) != id {
				env.t.Errorf("%s: served with result %q", id, a.Result)
			}
			if a.Kind == dispatch.Rejected && (a.RetryAfter <= 0 || a.RetryAfter > maxRetryAfter) {
				env.t.Errorf("%s: rejected with retry-after %v", id, a.RetryAfter)
			}
		}
	}
	if env.core.OpenJobs() != 0 {
		env.t.Errorf("%d jobs are still open, want 0", env.core.OpenJobs())
	}
}

// A list may repeat a worker's start time after the wall clock has moved relative to the core's clock. The module must
// not take that for a restart.
func TestWorkerStartIsConvertedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := testenv.Worker("s-00000001", "127.0.1.1:5000", "ready")
		w.StartedAtMs = time.Now().Add(-2 * time.Second).UnixMilli()
		node := testenv.Node(t, []config.Worker{w}, "")
		env := &fakeEnvironment{sends: map[string]int{}, state: map[string]string{"s-00000001": "ready"}}
		core, err := dispatch.New(node, new(dispatch.Counters), env, nil, env, nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go core.Run(ctx)
		synctest.Wait()
		first := core.WorkerStart("s-00000001")
		if age := core.Now() - first; age != 2*time.Second {
			t.Errorf("the worker started %v ago, want 2s", age)
		}
		time.Sleep(1500 * time.Microsecond)
		core.UpdateWorkers(decision.ListFull, []config.Worker{w})
		synctest.Wait()
		if again := core.WorkerStart("s-00000001"); again != first {
			t.Errorf("after the same list entry the start moved from %v to %v", first, again)
		}
		w.StartedAtMs = time.Now().Add(time.Hour).UnixMilli()
		core.UpdateWorkers(decision.ListFull, []config.Worker{w})
		synctest.Wait()
		if again := core.WorkerStart("s-00000001"); again > core.Now() || again <= first {
			t.Errorf("a start in the future became %v at %v", again, core.Now())
		}
	})
}

// Submit must return an error once Limits.OpenJobs jobs are open, and must not call Reply for that job.
func TestSubmitRejectsJobsBeyondOpenJobsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := *testenv.Node(t, nil, "")
		node.Limits.OpenJobs = 2
		env := &fakeEnvironment{sends: map[string]int{}}
		core, err := dispatch.New(&node, new(dispatch.Counters), env, nil, env, nil)
		if err != nil {
			t.Fatal(err)
		}
		replies := 0
		for i := range 3 { // the core does not run yet, so all jobs stay open
			err := core.Submit(&dispatch.Job{ID: fmt.Sprint(i), Timeout: time.Second, Reply: func(dispatch.Answer) { replies++ }})
			if (err != nil) != (i == 2) {
				t.Errorf("job %d: Submit returned error %v", i, err)
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go core.Run(ctx)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if replies != 2 || core.OpenJobs() != 0 {
			t.Errorf("got %d answers and %d open jobs, want 2 and 0", replies, core.OpenJobs())
		}
	})
}
