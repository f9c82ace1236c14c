// What a job comes to that is delivered or asked for again.

package testenv

import (
	"testing"
	"testing/synctest"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// A broker delivers an enrol again when its channel drops while the job is out: one send, one answer.
func TestRedeliveredEnrolJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.queue()
		q.put(task{"r1", "enrol", "k1", "done/2s", 5 * time.Second})
		time.Sleep(time.Second)
		r.broker.Drop("jobs")
		if c := q.answer(); c.verdict != "served" || c.body != Result("r1") {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
		if n := len(r.workers.Sent("r1")); n != 1 || r.broker.Acked != 1 {
			t.Errorf("sent %d times, %d deliveries acked", n, r.broker.Acked)
		}
	})
}

// The same when the drop comes between the answer's publish and its confirm: the ledger gives the outcome again.
func TestUnconfirmedAnswerIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.queue()
		r.broker.NackNext(2)
		q.put(task{"r1", "enrol", "k1", "done/100ms", 5 * time.Second})
		if c := q.answer(); c.verdict != "served" {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
		if n := len(r.workers.Sent("r1")); n != 1 || r.broker.Acked != 1 {
			t.Errorf("sent %d times, %d deliveries acked", n, r.broker.Acked)
		}
	})
}

// After a restart nothing is known of a key: an enrol that was delivered before may have run and is not sent; a
// seat-check is.
func TestRedeliveredAfterRestart(t *testing.T) {
	for class, want := range map[string]string{"enrol": "failed", "seat-check": "served"} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestDispatcher(t).start(options{amqp: true})
			q := r.queue()
			q.put(task{"r1", class, "k1", "silent,done", 5 * time.Second})
			time.Sleep(time.Second)
			r.stop()
			r.broker.Drop("jobs")
			time.Sleep(time.Second)
			r.start(options{amqp: true})
			if c := q.answer(); c.verdict != want {
				t.Errorf("%s: answered %+v", class, c)
			}
			if n := len(r.workers.Sent("r1")); (n == 1) != (class == "enrol") {
				t.Errorf("%s: sent %d times", class, n)
			}
		})
	}
}

// copies stands for what keeps promises: it knows the outcome of every job.
type copies struct{ asked []string }

func (c *copies) Submit(j *dispatch.Job) error {
	c.asked = append(c.asked, j.IdempotencyKey)
	j.Reply(dispatch.Answer{Kind: dispatch.Served, Result: []byte("as it stands")})
	return nil
}
func (c *copies) Abandon(*dispatch.Job) {}

// Where jobs are taken for keeps, the copies know of a redelivered one what this dispatcher's ledger doesn't: they are asked,
// and the successor's client gets the outcome that stands.
func TestRedeliveredAsksTheCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.queue()
		q.put(task{"r1", "enrol", "k1", "silent,done", 5 * time.Second})
		time.Sleep(time.Second)
		r.stop()
		r.broker.Drop("jobs")
		time.Sleep(time.Second)
		kept := &copies{}
		r.start(options{amqp: true, taker: kept})
		if c := q.answer(); c.verdict != "served" || c.body != "as it stands" || len(kept.asked) != 1 || len(r.workers.Sent("r1")) != 1 {
			t.Errorf("answered %+v, the copies were asked for %q, it was sent %d times", c, kept.asked, len(r.workers.Sent("r1")))
		}
	})
}

// A worker's queue that is not there proves that nothing ran; a channel that drops after a publish does not.
func TestReturnedAndLostPublishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true, queues: true, lostQueue: true})
		q := r.queue()
		q.put(task{"r1", "enrol", "k1", "done", 5 * time.Second})
		if c := q.answer(); c.verdict != "refused" || c.after == "" {
			t.Errorf("answered %+v", c)
		}
		if n := r.core.Counters.Outcomes[decision.ConnectFailed].Load(); n == 0 || len(r.workers.Sent("r1")) != 0 {
			t.Errorf("%d attempts count as never run, %v sent", n, r.workers.Sent("r1"))
		}
	})
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true, queues: true})
		q := r.queue()
		q.put(task{"r2", "enrol", "k2", "done/4s", 3 * time.Second})
		time.Sleep(time.Second)
		r.broker.Drop("jobs")
		synctest.Wait()
		if n := r.core.Counters.Outcomes[decision.Reset].Load(); n != 1 {
			t.Errorf("%d attempts count as lost", n)
		}
		if c := q.answer(); c.verdict == "none" || c.verdict == "malformed" {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
	})
}

// A client's own new try of a key: with a served one it gets the result and nothing is sent; after a refusal it runs.
func TestNewTryOfAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.queue()
		for _, k := range []struct {
			task
			verdict, body string
			sends         int
		}{
			{task{"t1", "enrol", "k1", "done", 5 * time.Second}, "served", Result("t1"), 1},
			{task{"t2", "enrol", "k1", "done", 5 * time.Second}, "served", Result("t1"), 0},
			{task{"t3", "enrol", "k3", "returned,returned,returned", 5 * time.Second}, "refused", "", 3},
			{task{"t4", "enrol", "k3", "done", 5 * time.Second}, "served", Result("t4"), 1},
			{task{"t5", "seat-check", "k1", "done", 5 * time.Second}, "served", Result("t5"), 1},
		} {
			q.put(k.task)
			if c := q.answer(); c.verdict != k.verdict || c.body != k.body || len(r.workers.Sent(k.id)) != k.sends {
				t.Errorf("%s: %+v after %v", k.id, c, r.workers.Sent(k.id))
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(r.node.Limits.OutcomeRetention) // now the key is forgotten, and a new try is a new job
		q.put(task{"t6", "enrol", "k1", "done", 5 * time.Second})
		if c := q.answer(); c.body != Result("t6") {
			t.Errorf("after the window: %+v", c)
		}
	})
}
