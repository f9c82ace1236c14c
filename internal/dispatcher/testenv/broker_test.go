// The AMQP adapter on the client side, and the states of its connection to the broker.

package testenv

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// A client leaves at the moment when the core hands its job to the AMQP transport: nothing is published.
func TestNothingIsPublishedAfterClientLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(context.Background())
		r := newTestDispatcher(t).start(options{queues: true, observer: func(m *dispatch.Event) {
			if m.Kind == dispatch.AttemptSent {
				leave()
				synctest.Wait() // all other goroutines have seen the client leave; the core waits here
			}
		}})
		time.Sleep(time.Second) // until the adapter has connected to the broker
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+dispatcherAddress+"/seat-check", strings.NewReader("done"))
		for k, v := range map[string]string{"X-Request-ID": "p1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "5"} {
			req.Header.Set(k, v)
		}
		if _, err := r.client.Do(req); err == nil {
			t.Error("the client got an answer after it had left")
		}
		time.Sleep(time.Minute)
		if c := r.core.Counters; len(r.workers.Sent("p1")) != 0 || c.Sent.Load() != 1 || c.Outcomes[decision.NeverSent].Load() != 1 || r.core.OpenJobs() != 0 {
			t.Errorf("published to workers %v; %s", r.workers.Sent("p1"), r.core.CountersLine())
		}
	})
}

// After Drain the AMQP adapter accepts no further jobs, and the accepted ones are answered and acked.
func TestDrainOfAMQPAdapterAnswersAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.newQueueClient()
		q.putTask(task{"v1", "enrol", "k1", "done/3s", 5 * time.Second})
		time.Sleep(time.Second)
		r.adapter.Drain()
		synctest.Wait()
		q.putTask(task{"v2", "enrol", "k2", "done", 5 * time.Second})
		if err := r.adapter.Wait(context.Background()); err != nil {
			t.Error(err)
		}
		if c := q.answer(); c.verdict != "served" || c.body != Result("v1") {
			t.Errorf("v1: answered %+v, want its result", c)
		}
		q.expectNoAnswer(t)
		if len(r.workers.Sent("v2")) != 0 || r.broker.Acked != 1 {
			t.Errorf("v2 was sent to %v, want none; %d deliveries acked, want 1", r.workers.Sent("v2"), r.broker.Acked)
		}
	})
}

// The connection to the broker is dropped, its publishes nacked and time passes, in random steps with jobs in between.
// Each job must be answered, and all its answers must be equal. No worker may see two attempts of a job at a time, or
// an enrol again that has already completed.
func TestJobsSurviveBrokerConnectionFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // in a synctest bubble T.Deadline panics
			r := newTestDispatcher(t).start(options{amqp: true})
			defer r.end()
			q := r.newQueueClient()
			jobs := map[string]task{}
			for n, step := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 20).Draw(rt, "steps") {
				switch step {
				case 0, 1, 2:
					id := fmt.Sprint("x", n)
					class := rapid.SampledFrom([]string{"seat-check", "enrol"}).Draw(rt, "class")
					script := rapid.SampledFrom([]string{"done", "done/300ms", "done/2s", "returned,done", "500,done", "silent"}).Draw(rt, "script")
					jobs[id] = task{id, class, "key-" + id, script, 3 * time.Second}
					q.putTask(jobs[id])
				case 3:
					r.broker.Drop("jobs")
				case 4:
					r.broker.NackNext(rapid.IntRange(1, 3).Draw(rt, "nacks"))
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
				}
			}
			answers := map[string]map[string]int{}
			for c := q.answer(); c.verdict != "none"; c = q.answer() {
				if answers[c.id] == nil {
					answers[c.id] = map[string]int{}
				}
				answers[c.id][c.verdict+" "+c.body]++
			}
			for id, k := range jobs {
				if len(answers[id]) != 1 {
					rt.Errorf("%+v: answered %v, want one distinct answer", k, answers[id])
				}
				if n := len(r.workers.Sent(id)); k.class == "enrol" && strings.HasPrefix(k.script, "done") && n > 1 {
					rt.Errorf("%+v: sent %d times, want at most once", k, n)
				}
			}
			if len(r.workers.Violations) > 0 || r.core.OpenJobs() != 0 || r.broker.Unsettled() != 0 {
				rt.Errorf("violations %v; %d jobs open; %d deliveries not settled", r.workers.Violations, r.core.OpenJobs(), r.broker.Unsettled())
			}
		})
	})
}
