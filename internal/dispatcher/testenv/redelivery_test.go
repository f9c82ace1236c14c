// Jobs that the broker redelivers or a client retries.

package testenv

import (
	"testing"
	"testing/synctest"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// The broker redelivers an enrol whose connection drops while the job is in flight: one send, one answer.
func TestRedeliveredEnrolIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.newQueueClient()
		q.putTask(task{"r1", "enrol", "k1", "done/2s", 5 * time.Second})
		time.Sleep(time.Second)
		r.broker.Drop("jobs")
		if c := q.answer(); c.verdict != "served" || c.body != Result("r1") {
			t.Errorf("answered %+v, want the result of r1", c)
		}
		q.expectNoAnswer(t)
		if n := len(r.workers.Sent("r1")); n != 1 || r.broker.Acked != 1 {
			t.Errorf("sent %d times, %d deliveries acked; want one each", n, r.broker.Acked)
		}
	})
}

// The broker nacks the publish of an answer: the dispatcher publishes the recorded outcome again without another send.
func TestUnconfirmedAnswerIsPublishedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.newQueueClient()
		r.broker.NackNext(2)
		q.putTask(task{"r1", "enrol", "k1", "done/100ms", 5 * time.Second})
		if c := q.answer(); c.verdict != "served" {
			t.Errorf("answered %+v, want served", c)
		}
		q.expectNoAnswer(t)
		if n := len(r.workers.Sent("r1")); n != 1 || r.broker.Acked != 1 {
			t.Errorf("sent %d times, %d deliveries acked; want one each", n, r.broker.Acked)
		}
	})
}

// After a restart the dispatcher knows no keys. A redelivered enrol may have run, so it is not sent again; a seat-check
// is.
func TestRedeliveredEnrolIsNotSentAgainAfterRestart(t *testing.T) {
	for class, want := range map[string]string{"enrol": "failed", "seat-check": "served"} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestDispatcher(t).start(options{amqp: true})
			q := r.newQueueClient()
			q.putTask(task{"r1", class, "k1", "silent,done", 5 * time.Second})
			time.Sleep(time.Second)
			r.stop()
			r.broker.Drop("jobs")
			time.Sleep(time.Second)
			r.start(options{amqp: true})
			if c := q.answer(); c.verdict != want {
				t.Errorf("%s after a restart: answered %+v", class, c)
			}
			if n := len(r.workers.Sent("r1")); (n == 1) != (class == "enrol") {
				t.Errorf("%s: sent %d times", class, n)
			}
		})
	}
}

// fakeReplicas is a fake of the replicated job records that knows an outcome for every job.
type fakeReplicas struct{ asked []string }

func (c *fakeReplicas) Submit(j *dispatch.Job) error {
	c.asked = append(c.asked, j.IdempotencyKey)
	j.Reply(dispatch.Answer{Kind: dispatch.Served, Result: []byte("as it stands")})
	return nil
}
func (c *fakeReplicas) Abandon(*dispatch.Job) {}

// With durable jobs the replicas may know the outcome of a redelivered job that the restarted dispatcher does not. It
// asks them, and the client gets the recorded outcome.
func TestRedeliveredJobGetsReplicatedOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.newQueueClient()
		q.putTask(task{"r1", "enrol", "k1", "silent,done", 5 * time.Second})
		time.Sleep(time.Second)
		r.stop()
		r.broker.Drop("jobs")
		time.Sleep(time.Second)
		replicas := &fakeReplicas{}
		r.start(options{amqp: true, durable: replicas})
		if c := q.answer(); c.verdict != "served" || c.body != "as it stands" || len(replicas.asked) != 1 || len(r.workers.Sent("r1")) != 1 {
			t.Errorf("answered %+v; the replicas were asked for %q; sent %d times; want the recorded outcome, one key and one send", c, replicas.asked, len(r.workers.Sent("r1")))
		}
	})
}

// A publish returned because the worker's queue does not exist proves that the job did not run. A connection that drops
// after the publish proves nothing.
func TestLostPublishMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true, queues: true, missingQueues: true})
		q := r.newQueueClient()
		q.putTask(task{"r1", "enrol", "k1", "done", 5 * time.Second})
		if c := q.answer(); c.verdict != "refused" || c.retryAfter == "" {
			t.Errorf("answered %+v, want refused with a time to retry after", c)
		}
		if n := r.core.Counters.Outcomes[decision.ConnectFailed].Load(); n == 0 || len(r.workers.Sent("r1")) != 0 {
			t.Errorf("%d attempts count as never run, sent to %v", n, r.workers.Sent("r1"))
		}
	})
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true, queues: true})
		q := r.newQueueClient()
		q.putTask(task{"r2", "enrol", "k2", "done/4s", 3 * time.Second})
		time.Sleep(time.Second)
		r.broker.Drop("jobs")
		synctest.Wait()
		if n := r.core.Counters.Outcomes[decision.Reset].Load(); n != 1 {
			t.Errorf("%d attempts count as lost, want 1", n)
		}
		if c := q.answer(); c.verdict == "none" || c.verdict == "malformed" {
			t.Errorf("answered %+v, want an outcome", c)
		}
		q.expectNoAnswer(t)
	})
}

// A client retries a key with a new job. If the first one was served, it gets that result and nothing is sent. After a
// refusal it runs.
func TestClientRetryOfServedKeyIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.newQueueClient()
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
			q.putTask(k.task)
			if c := q.answer(); c.verdict != k.verdict || c.body != k.body || len(r.workers.Sent(k.id)) != k.sends {
				t.Errorf("%s: %+v after sends to %v", k.id, c, r.workers.Sent(k.id))
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(r.node.Limits.OutcomeRetention) // the key has expired, so a retry is a new job
		q.putTask(task{"t6", "enrol", "k1", "done", 5 * time.Second})
		if c := q.answer(); c.body != Result("t6") {
			t.Errorf("after the outcome expired: %+v, want the result of t6", c)
		}
	})
}
