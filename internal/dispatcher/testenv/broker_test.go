// The front at the broker, and what its connection goes through.

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

// A client leaves just when its job has been given to a queue's floor: nothing is published.
func TestClientLeavesBeforeItsJobIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(context.Background())
		r := newTestDispatcher(t).start(options{queues: true, sees: func(m *dispatch.Event) {
			if m.Kind == dispatch.AttemptSent {
				leave()
				synctest.Wait() // all have seen it go, but for the core, which stands here
			}
		}})
		time.Sleep(time.Second) // the desk is at the broker
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+here+"/seat-check", strings.NewReader("done"))
		for k, v := range map[string]string{"X-Request-ID": "p1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "5"} {
			req.Header.Set(k, v)
		}
		if _, err := r.client.Do(req); err == nil {
			t.Error("an answer came")
		}
		time.Sleep(time.Minute)
		if c := r.core.Counters; len(r.workers.Sent("p1")) != 0 || c.Sent.Load() != 1 || c.Outcomes[decision.NeverSent].Load() != 1 || r.core.OpenJobs() != 0 {
			t.Errorf("published %v; %s", r.workers.Sent("p1"), r.core.CountersLine())
		}
	})
}

// Told to leave, the AMQP front takes nothing more, and what it took is answered and acked.
func TestLeavingTheBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.queue()
		q.put(task{"v1", "enrol", "k1", "done/3s", 5 * time.Second})
		time.Sleep(time.Second)
		r.desk.Drain()
		synctest.Wait()
		q.put(task{"v2", "enrol", "k2", "done", 5 * time.Second})
		if err := r.desk.Wait(context.Background()); err != nil {
			t.Error(err)
		}
		if c := q.answer(); c.verdict != "served" || c.body != Result("v1") {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
		if len(r.workers.Sent("v2")) != 0 || r.broker.Acked != 1 {
			t.Errorf("v2 was sent %v, %d deliveries acked", r.workers.Sent("v2"), r.broker.Acked)
		}
	})
}

// What the connection to the broker can go through (up, dropped, confirms refused, late) in random steps, with jobs in
// between: each job is answered, all its answers say the same, and no worker sees two attempts of one at a time or an
// enrol again that had run to its end.
func TestBrokerConnectionStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // a bubble has no deadline to ask for
			r := newTestDispatcher(t).start(options{amqp: true})
			defer r.end()
			q := r.queue()
			jobs := map[string]task{}
			for n, step := range rapid.SliceOfN(rapid.IntRange(0, 5), 1, 20).Draw(rt, "steps") {
				switch step {
				case 0, 1, 2:
					id := fmt.Sprint("x", n)
					class := rapid.SampledFrom([]string{"seat-check", "enrol"}).Draw(rt, "class")
					script := rapid.SampledFrom([]string{"done", "done/300ms", "done/2s", "returned,done", "500,done", "silent"}).Draw(rt, "script")
					jobs[id] = task{id, class, "key-" + id, script, 3 * time.Second}
					q.put(jobs[id])
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
					rt.Errorf("%+v: answered %v", k, answers[id])
				}
				if n := len(r.workers.Sent(id)); k.class == "enrol" && strings.HasPrefix(k.script, "done") && n > 1 {
					rt.Errorf("%+v: sent %d times", k, n)
				}
			}
			if len(r.workers.Violations) > 0 || r.core.OpenJobs() != 0 || r.broker.Unsettled() != 0 {
				rt.Errorf("%v; %d open; %d deliveries not settled", r.workers.Violations, r.core.OpenJobs(), r.broker.Unsettled())
			}
		})
	})
}
