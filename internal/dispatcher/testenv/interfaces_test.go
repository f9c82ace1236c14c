// These tests drive the dispatcher's HTTP and AMQP interfaces against the test doubles, in the virtual time of
// testing/synctest. The outcome of each job is stated case by case; WorkerGroup checks the rules for all jobs.
package testenv

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/dispatcher/config"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// jobSequence is a fixed sequence of jobs for both interfaces. Its scripts use only steps that HTTP and AMQP workers
// support.
var jobSequence = []struct {
	task
	verdict string
	sends   int
}{
	{task{"a1", "seat-check", "", "done/100ms", 5 * time.Second}, "served", 1},
	{task{"a2", "enrol", "k2", "done/50ms", 5 * time.Second}, "served", 1},
	{task{"a3", "seat-check", "", "returned,done", 5 * time.Second}, "served", 2},
	{task{"a4", "seat-check", "", "failed,done", 5 * time.Second}, "served", 2},
	{task{"a5", "enrol", "k5", "returned,done", 5 * time.Second}, "served", 2},
	{task{"a6", "seat-check", "", "lost,truncated,done", 5 * time.Second}, "served", 3},
	{task{"a7", "seat-check", "", "failed,failed,failed,done", 5 * time.Second}, "refused", 3},
	{task{"a8", "seat-check", "", "silent", 2 * time.Second}, "refused", 1},
	{task{"a9", "enrol", "k9", "foreign,done", 5 * time.Second}, "served", 2},
	{task{"b1", "seat-check", "", "done/900ms", 5 * time.Second}, "served", 1},
	{task{"b2", "seat-check", "", "done/3s", 500 * time.Millisecond}, "refused", 1},
}

// Outcomes of jobs and the value earned must not depend on whether clients and workers use HTTP or AMQP.
func TestHTTPAndAMQPServeSameJobsAlike(t *testing.T) {
	var shares []float64 // share of the value earned, for each combination
	for _, o := range []options{{}, {amqp: true}, {amqp: true, queues: true}} {
		t.Run(fmt.Sprintf("amqp=%v queues=%v", o.amqp, o.queues), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newTestDispatcher(t).start(o)
				var q *queueClient
				if o.amqp {
					q = r.newQueueClient()
				}
				valueEarned, valueAsked := 0.0, 0.0
				for _, k := range jobSequence {
					time.Sleep(2 * time.Second)
					var c receivedAnswer
					if q == nil {
						c = r.post(k.task)
					} else {
						q.putTask(k.task)
						c = q.answer()
					}
					if c.verdict != k.verdict || len(r.workers.Sent(k.id)) != k.sends {
						t.Errorf("%s: %+v after sends to %v, want %s after %d sends", k.id, c, r.workers.Sent(k.id), k.verdict, k.sends)
					}
					if c.verdict == "served" && c.body != Result(k.id) {
						t.Errorf("%s: the result is %q", k.id, c.body)
					}
					if c.verdict == "refused" && (c.retryAfter == "" || c.retryAfter == "0.000") {
						t.Errorf("%s: refused without a time to retry after", k.id)
					}
					class := r.node.Module.Classes[config.Index(r.node.Classes, k.class)]
					valueAsked += class.Value
					if aim := class.LatencyTarget + time.Duration(class.Stretch*float64(k.duration())); c.verdict == "served" && c.took <= aim {
						valueEarned += class.Value
					} else if c.verdict == "served" {
						valueEarned += class.Value * class.LateValue
					}
					if c.took >= k.timeout {
						t.Errorf("%s: answered after %v, but the client leaves after %v", k.id, c.took, k.timeout)
					}
				}
				if len(r.workers.Violations) > 0 {
					t.Error(r.workers.Violations)
				}
				if r.core.OpenJobs() != 0 {
					t.Errorf("%d jobs are still open", r.core.OpenJobs())
				}
				shares = append(shares, valueEarned/valueAsked)
			})
		})
	}
	if len(shares) != 3 || shares[0] != shares[1] || shares[1] != shares[2] || shares[0] < 0.5 || shares[0] >= 1 {
		t.Errorf("shares of value earned differ or are out of range: %v", shares)
	}
}

func TestMalformedMessagesAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		q := r.newQueueClient()
		good := amqp.Publishing{CorrelationId: "m", MessageId: "k", Type: "enrol", ReplyTo: "answers", Expiration: "5000",
			Headers: amqp.Table{"x-tenant-id": "univ-laurentie"}, Body: []byte("done")}
		for name, spoil := range map[string]func(*amqp.Publishing){
			"expiration":  func(p *amqp.Publishing) { p.Expiration = "soon" },
			"negative":    func(p *amqp.Publishing) { p.Expiration = "-1" },
			"key":         func(p *amqp.Publishing) { p.MessageId = "" },
			"class":       func(p *amqp.Publishing) { p.Type = "render" },
			"university":  func(p *amqp.Publishing) { p.Headers = nil },
			"head":        func(p *amqp.Publishing) { p.MessageId = "k\r\nX-Other: 1" },
			"slots":       func(p *amqp.Publishing) { p.Headers = amqp.Table{"x-tenant-id": "univ-laurentie", "x-slots": "NaN"} },
			"subject":     func(p *amqp.Publishing) { p.Headers = amqp.Table{"x-tenant-id": "univ-laurentie", "x-subject": "a/b"} },
			"large":       func(p *amqp.Publishing) { p.Body = make([]byte, 64<<10+1) },
			"past expiry": nil,
		} {
			p := good
			want := "malformed"
			if spoil == nil { // its client left while it waited in the queue: it is refused and never sent
				p.Timestamp, want = time.Now().Add(-time.Minute), "refused"
			} else {
				spoil(&p)
			}
			q.publish(p)
			if c := q.answer(); c.verdict != want || want == "malformed" && c.body == "" {
				t.Errorf("%s: answered %+v", name, c)
			}
		}
		bad := good
		bad.ReplyTo, bad.Type = "", "render"
		q.publish(bad)
		synctest.Wait()
		if r.broker.Rejected != 1 || len(r.workers.Sent("m")) != 0 {
			t.Errorf("%d messages rejected, want 1; %d sent, want 0", r.broker.Rejected, len(r.workers.Sent("m")))
		}
	})
}

// Answers that only HTTP workers can give, and headers and targets that must reach the worker unchanged.
func TestJobsSurviveOddHTTPAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		for _, k := range []struct {
			script, verdict string
			sends           int
		}{
			{"done-odd", "served", 1}, {"500,done", "served", 2}, {"503,done", "served", 2}, {"503-maybe,done", "served", 2},
			{"break,done", "served", 2}, {"truncated,done", "served", 2},
		} {
			time.Sleep(2 * time.Second)
			c := r.post(task{k.script, "enrol", "key " + k.script, k.script, 5 * time.Second})
			if sent := r.workers.Sent(k.script); c.verdict != k.verdict || len(sent) != k.sends {
				t.Errorf("%s: %+v after sends to %v", k.script, c, sent)
			}
			if c.verdict == "served" && c.body != Result(k.script) {
				t.Errorf("%s: the result is %q", k.script, c.body)
			}
			h := r.workers.Headers[k.script]
			if h.Get("Idempotency-Key") != "key "+k.script || r.workers.Targets[k.script] != "/enrol/x?y=%20z" || h.Get("X-Attrs") != "slots=1" {
				t.Errorf("%s: the worker received target %q with headers %v", k.script, r.workers.Targets[k.script], h)
			}
			if h.Get("X-Timeout") == "" || len(h["X-Request-Id"]) != 1 {
				t.Errorf("%s: the worker received headers %v", k.script, h)
			}
		}
		if len(r.workers.Violations) > 0 {
			t.Error(r.workers.Violations)
		}
	})
}

func TestClientServerRejectsMalformedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		good := "POST /enrol HTTP/1.1\r\nHost: b\r\nX-Request-ID: p1\r\nX-Priority-Class: enrol\r\nX-Tenant-Id: univ-gaspesie\r\n" +
			"X-Timeout: 2.5\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\ndone"
		for name, k := range map[string]struct{ from, to, status string }{
			"good":             {"", "", "200"},
			"no id":            {"X-Request-ID: p1\r\n", "", "400"},
			"two ids":          {"X-Request-ID: p1\r\n", "X-Request-ID: p1\r\nX-Request-ID: p2\r\n", "400"},
			"class and path":   {"/enrol", "/seat-check", "400"},
			"unknown class":    {"enrol", "render", "400"},
			"unknown univ":     {"univ-gaspesie", "univ-x", "400"},
			"no univ":          {"X-Tenant-Id: univ-gaspesie\r\n", "", "400"},
			"no timeout":       {"X-Timeout: 2.5\r\n", "", "400"},
			"bad timeout":      {"2.5", "soon", "400"},
			"nan timeout":      {"2.5", "NaN", "400"},
			"negative timeout": {"2.5", "-1", "400"},
			"no key":           {"Idempotency-Key: k\r\n", "", "400"},
			"large":            {"Content-Length: 4", "Content-Length: 65537", "413"},
			"bad attrs":        {"X-Timeout", "X-Attrs: slots=many\r\nX-Timeout", "400"},
			"method":           {"POST", "PUT", "405"},
			"absolute target":  {"POST /enrol", "POST http://h/enrol", "400"},
			"bad length":       {"Content-Length: 4", "Content-Length: x", "400"},
			"head too large":   {"Host: b", "Host: b\r\nX-Long: " + strings.Repeat("x", 40<<10), "431"},
			"cut off":          {"Content-Length: 4", "Content-Length: 5", "400"}, // the rest never comes
			"endless head":     {"\r\n\r\ndone", "\r\nX-More: ", "408"},
			"no request":       {good, "\x16\x03\x01 hello", "400"},
			"two lengths":      {"Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4", "400"},
			"signed length":    {"Content-Length: 4", "Content-Length: +4", "400"},
			"negative length":  {"Content-Length: 4", "Content-Length: -4", "400"},
			"list of lengths":  {"Content-Length: 4", "Content-Length: 4, 4", "400"},
			"huge length":      {"Content-Length: 4", "Content-Length: 99999999999999999999", "413"},
			"hidden request":   {"Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked", "400"},
			"hidden otherwise": {"Content-Length: 4", "Transfer-Encoding: chunked\r\ncontent-length: 4", "400"},
			"unknown coding":   {"Content-Length: 4", "Transfer-Encoding: gzip, chunked", "501"},
			"two codings":      {"Content-Length: 4", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "400"},
			"folded line":      {"Host: b", "Host: b\r\nX-Long: a\r\n b", "400"},
			"space in a name":  {"X-Timeout:", "X-Timeout :", "400"},
			"bare line ends":   {"Host: b\r\n", "Host: b\n", "400"},
			"control in head":  {"Host: b", "Host: b\x00", "400"},
			"inf timeout":      {"2.5", "Inf", "400"},
			"hex timeout":      {"2.5", "0x1p4", "400"},
			"large exponent":   {"2.5", "1e300", "400"},
			"huge timeout":     {"2.5", "99999999999", "400"},
			"odd id":           {"p1", "p\xff", "400"},
		} {
			text := strings.ReplaceAll(good, k.from, k.to)
			if k.from == "" {
				text = good
			}
			if name == "large" {
				text += strings.Repeat("x", 65533)
			}
			if status, _ := r.sendRaw(text); status != k.status {
				t.Errorf("%s: answered %s", name, status)
			}
		}
		for path, want := range map[string]string{"/up": "200", "/counters": "200", "/other": "404"} {
			if status, _ := r.sendRaw("GET " + path + " HTTP/1.1\r\nHost: b\r\n\r\n"); status != want {
				t.Errorf("GET %s: answered %s", path, status)
			}
		}
		chunked := strings.Replace(good, "Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 1)
		if status, body := r.sendRaw(strings.Replace(chunked, "p1", "p9", 1)); status != "200" || body != Result("p9") {
			t.Errorf("chunked body: answered %s, %s; want 200 and the result of p9", status, body)
		}
		if r.core.OpenJobs() != 0 || r.core.Counters.Accepted.Load() != 2 {
			t.Errorf("%d jobs open, want 0; %d accepted, want 2", r.core.OpenJobs(), r.core.Counters.Accepted.Load())
		}
	})
}

// While the dispatcher drains, it still serves new connections, closes each after its answer, and answers accepted
// jobs.
func TestDrainAnswersAcceptedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{})
		slow := make(chan receivedAnswer)
		go func() { slow <- r.post(task{"l1", "seat-check", "", "done/4s", 5 * time.Second}) }()
		time.Sleep(time.Second)
		r.clientServer.Drain()
		if status, _ := r.sendRaw("GET /up HTTP/1.1\r\nHost: b\r\n\r\n"); status != "503" {
			t.Errorf("/up answers %s during the drain, want 503", status)
		}
		dials := r.net.Dials
		for _, id := range []string{"l2", "l3"} {
			if c := r.post(task{id, "seat-check", "", "done", 5 * time.Second}); c.verdict != "served" {
				t.Errorf("%s during the drain: %+v, want served", id, c)
			}
		}
		if r.net.Dials < dials+2 {
			t.Error("an answer did not close its connection")
		}
		if c := <-slow; c.verdict != "served" || !c.closed {
			t.Errorf("the job in flight: %+v, want served and a closed connection", c)
		}
		done := make(chan error)
		go func() { done <- r.clientServer.Shutdown(context.Background()) }()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
