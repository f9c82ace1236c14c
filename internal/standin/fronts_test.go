// These tests drive both fronts against the stand-ins, in time that the test
// itself moves on. They own no rule: what a job must come to is said case by
// case, and what must hold for all jobs is checked in the yard.
package standin

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
	"pgregory.net/rapid"

	"ivyfold"
	desk "ivyfold/internal/amqp"
	"ivyfold/internal/config"
	"ivyfold/internal/dispatch"
	"ivyfold/internal/floor"
	"ivyfold/internal/portal"
	"ivyfold/internal/roster"
)

const (
	here   = "127.0.0.1:5000"
	broker = "127.0.0.1:5672"
)

var names = []string{"s-0badcafe", "s-1ce9565e", "s-3f2d6233", "s-9adcbe7d"}

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// rig is a whole dispatcher on the network in memory.
type rig struct {
	t      *testing.T
	net    *Net
	yard   *Yard
	broker *Broker
	list   *Roster
	watch  *roster.Roster
	node   *config.Node
	core   *dispatch.Core
	floor  *floor.Floor
	portal *portal.Portal
	desk   *desk.Desk
	stop   func()
	client *http.Client
	ends   []func()
	spare  int // client connections allowed, where not the usual number
	pushed bool
}

type options struct {
	queues, amqp, lostQueue bool
	taker                   dispatch.Taker // takes keyed jobs for keeps, in the core's place
	sees                    seen           // what the core does; nil: nobody looks
}

type seen func(*dispatch.Moment)

func (s seen) See(m *dispatch.Moment) { s(m) }

// world makes the surroundings: four workers over HTTP, or as many at queues, a roster and a broker.
func world(t *testing.T) *rig {
	r := &rig{t: t, net: &Net{Silent: map[string]bool{}}, yard: &Yard{}, broker: &Broker{}, list: &Roster{Changes: make(chan string)}}
	r.broker.Queue("jobs")
	bl, dl := r.net.Listen(broker), r.net.Listen("127.0.0.1:8500")
	go r.broker.Serve(bl)
	srv := &http.Server{Handler: r.list}
	go srv.Serve(dl)
	var open []net.Listener
	for i, name := range names {
		l := r.net.Listen(fmt.Sprintf("127.0.1.%d:5000", i))
		open = append(open, l)
		go r.yard.Worker(l, name)
	}
	r.client = &http.Client{Transport: &http.Transport{DialContext: dialContext(r.net)}}
	t.Cleanup(r.end)
	r.ends = append(r.ends, func() {
		r.client.CloseIdleConnections()
		srv.Close()
		bl.Close()
		for _, l := range open {
			l.Close()
		}
		r.broker.Drop("jobs")
		for _, name := range names {
			r.broker.Drop(name)
		}
		time.Sleep(time.Minute) // whatever still waits comes to its end
	})
	return r
}

// end closes everything, the last first.
func (r *rig) end() {
	for ; len(r.ends) > 0; r.ends = r.ends[:len(r.ends)-1] {
		r.ends[len(r.ends)-1]()
	}
}

// start brings a dispatcher up in it.
func (r *rig) start(o options) *rig {
	text := ""
	var listed []config.Worker
	if o.amqp || o.queues {
		text = "[amqp]\nurl = \"amqp://guest:guest@" + broker + "/\"\njobs = \"jobs\"\n"
	}
	for i, name := range names {
		if !o.queues {
			listed = append(listed, Listing(name, fmt.Sprintf("127.0.1.%d:5000", i), "ready"))
			continue
		}
		text += fmt.Sprintf("[[amqp.worker]]\nid = %q\nqueue = %q\nzone = \"montreal\"\nkind = \"std-2c\"\n", name, name)
		if o.lostQueue {
			continue
		}
		r.broker.Queue(name)
		c, err := Connect(r.net, broker)
		if err != nil {
			r.t.Fatal(err)
		}
		if err := r.yard.QueueWorker(c, name, name); err != nil {
			r.t.Fatal(err)
		}
	}
	r.list.mu.Lock()
	r.list.Whole = config.Roster{Generation: 8, Reset: true, Workers: listed}
	r.list.mu.Unlock()
	n := Node(r.t, listed, text)
	if r.pushed {
		n.Module.Discovery = ivyfold.Push
	}
	if r.spare > 0 {
		n.Limits.PortalConns, n.Limits.PortalFresh = r.spare, r.spare/3
	}
	counters := new(dispatch.Counters)
	r.node, r.floor = n, floor.New(n, counters)
	r.floor.Dial = r.net.Dial
	watch := roster.New(n)
	watch.Dial = dialContext(r.net)
	var queues dispatch.Floor
	var fixed []config.Worker
	if text != "" {
		r.desk = desk.New(n, counters)
		r.desk.Dial = Dialer(r.net)
		queues, fixed = r.desk, r.desk.Workers()
	}
	var err error
	if r.core, err = dispatch.New(n, counters, r.floor, queues, watch, fixed); err != nil {
		r.t.Fatal(err)
	}
	if o.sees != nil {
		r.core.Observer = o.sees
	}
	watch.Listed, r.watch = r.core.Listed, watch
	ctx, cancel := context.WithCancel(context.Background())
	go r.core.Run(ctx)
	go watch.Run(ctx)
	if r.desk != nil {
		if r.desk.Core = r.core; o.taker != nil {
			r.desk.Core, r.desk.Kept = o.taker, true
		}
		go r.desk.Run(ctx)
	}
	r.portal = portal.New(n, r.core)
	l := r.net.Listen(here)
	go r.portal.Serve(l)
	r.stop = func() {
		cancel()
		done, over := context.WithCancel(context.Background())
		over()
		r.portal.Farewell(done)
		l.Close()
		r.client.CloseIdleConnections()
		for _, w := range listed {
			r.floor.CloseIdle(w)
		}
	}
	r.ends = append(r.ends, r.stop)
	time.Sleep(time.Millisecond)
	return r
}

type task struct {
	id, class, key, script string
	wait                   time.Duration
}

// came is what a client sees of a job.
type came struct {
	id, verdict, body, after string
	took                     time.Duration
	closed                   bool // the answer closed its connection
}

// post hands a job in over HTTP/1.1.
func (r *rig) post(k task) came {
	req, _ := http.NewRequest("POST", "http://"+here+"/"+k.class+"/x?y=%20z", strings.NewReader(k.script))
	req.Header.Set("X-Request-ID", k.id)
	req.Header.Set("X-Priority-Class", k.class)
	req.Header.Set("X-Tenant-Id", "univ-laurentie")
	req.Header.Set("X-Timeout", fmt.Sprint(k.wait.Seconds()))
	req.Header.Set("X-Attrs", "slots=1")
	if k.key != "" {
		req.Header.Set("Idempotency-Key", k.key)
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return came{verdict: err.Error()}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	c := came{verdict: "failed", after: resp.Header.Get("Retry-After"), took: time.Since(began), closed: resp.Close}
	switch resp.StatusCode {
	case 200:
		c.verdict, c.body = "served", string(body)
	case 429, 503:
		c.verdict = "refused"
	}
	return c
}

// university is a client that puts jobs into a queue.
type university struct {
	r       *rig
	conn    *amqp.Connection
	ch      *amqp.Channel
	answers <-chan amqp.Delivery
}

func (r *rig) queue() *university {
	c, err := Connect(r.net, broker)
	if err != nil {
		r.t.Fatal(err)
	}
	r.ends = append(r.ends, func() { c.Close() })
	ch, err := c.Channel()
	if err != nil {
		r.t.Fatal(err)
	}
	r.broker.Queue("answers")
	answers, err := ch.Consume("answers", "", true, false, false, false, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return &university{r, c, ch, answers}
}

func (q *university) put(k task) {
	q.publish(amqp.Publishing{CorrelationId: k.id, MessageId: k.key, Type: k.class, ReplyTo: "answers",
		Expiration: fmt.Sprint(k.wait.Milliseconds()), Headers: amqp.Table{"x-tenant-id": "univ-laurentie", "x-slots": "1"}, Body: []byte(k.script)})
}

func (q *university) publish(p amqp.Publishing) {
	if err := q.ch.Publish("", "jobs", false, false, p); err != nil {
		q.r.t.Fatal(err)
	}
}

// answer waits for the next answer; none within a minute is one that never comes.
func (q *university) answer() came {
	began := time.Now()
	select {
	case m := <-q.answers:
		after, _ := m.Headers["retry-after"].(string)
		reason, _ := m.Headers["reason"].(string)
		body := string(m.Body)
		if reason != "" {
			body = reason
		}
		return came{id: m.CorrelationId, verdict: m.Type, body: body, after: after, took: time.Since(began)}
	case <-time.After(time.Minute):
		return came{verdict: "none"}
	}
}

func (q *university) none(t *testing.T) {
	t.Helper()
	if c := q.answer(); c.verdict != "none" {
		t.Errorf("a second answer came: %+v", c)
	}
}

// runs is how long the job runs where it is served.
func (k task) runs() time.Duration {
	_, length, _ := strings.Cut(k.script[strings.LastIndex(k.script, ",")+1:], "/")
	d, _ := time.ParseDuration(length)
	return d
}

// sequence is one fixed row of jobs that both fronts serve. Scripts only use what both wires have.
var sequence = []struct {
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

func TestBothFrontsServeOneSequenceAlike(t *testing.T) {
	var service []float64 // of each way, as the operators count it
	for _, o := range []options{{}, {amqp: true}, {amqp: true, queues: true}} {
		t.Run(fmt.Sprintf("amqp=%v queues=%v", o.amqp, o.queues), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := world(t).start(o)
				var q *university
				if o.amqp {
					q = r.queue()
				}
				earned, asked := 0.0, 0.0
				for _, k := range sequence {
					time.Sleep(2 * time.Second)
					var c came
					if q == nil {
						c = r.post(k.task)
					} else {
						q.put(k.task)
						c = q.answer()
					}
					if c.verdict != k.verdict || len(r.yard.Sent(k.id)) != k.sends {
						t.Errorf("%s: %+v after sends to %v, wanted %s after %d", k.id, c, r.yard.Sent(k.id), k.verdict, k.sends)
					}
					if c.verdict == "served" && c.body != Result(k.id) {
						t.Errorf("%s: the result is %q", k.id, c.body)
					}
					if c.verdict == "refused" && (c.after == "" || c.after == "0.000") {
						t.Errorf("%s: refused without a time to come back", k.id)
					}
					class := r.node.Module.Classes[config.Index(r.node.Classes, k.class)]
					asked += class.Worth
					if aim := class.Aim + time.Duration(class.Stretch*float64(k.runs())); c.verdict == "served" && c.took <= aim {
						earned += class.Worth
					} else if c.verdict == "served" {
						earned += class.Worth * class.Late
					}
					if c.took >= k.wait {
						t.Errorf("%s: answered after %v, its client had left after %v", k.id, c.took, k.wait)
					}
				}
				if len(r.yard.Broken) > 0 {
					t.Error(r.yard.Broken)
				}
				if r.core.Open() != 0 {
					t.Errorf("%d jobs are left open", r.core.Open())
				}
				service = append(service, earned/asked)
			})
		})
	}
	if len(service) != 3 || service[0] != service[1] || service[1] != service[2] || service[0] < 0.5 || service[0] >= 1 {
		t.Errorf("the ways give services of %v", service)
	}
}

// A broker delivers an enrol again when its channel drops while the job is out: one send, one answer.
func TestRedeliveredEnrolJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
		q := r.queue()
		q.put(task{"r1", "enrol", "k1", "done/2s", 5 * time.Second})
		time.Sleep(time.Second)
		r.broker.Drop("jobs")
		if c := q.answer(); c.verdict != "served" || c.body != Result("r1") {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
		if n := len(r.yard.Sent("r1")); n != 1 || r.broker.Settled != 1 {
			t.Errorf("sent %d times, %d deliveries acked", n, r.broker.Settled)
		}
	})
}

// The same when the drop comes between the answer's publish and its confirm: the ledger gives the outcome again.
func TestUnconfirmedAnswerIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
		q := r.queue()
		r.broker.Doubt(2)
		q.put(task{"r1", "enrol", "k1", "done/100ms", 5 * time.Second})
		if c := q.answer(); c.verdict != "served" {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
		if n := len(r.yard.Sent("r1")); n != 1 || r.broker.Settled != 1 {
			t.Errorf("sent %d times, %d deliveries acked", n, r.broker.Settled)
		}
	})
}

// After a restart nothing is known of a key: an enrol that was delivered before may have run and is not sent; a
// seat-check is.
func TestRedeliveredAfterRestart(t *testing.T) {
	for class, want := range map[string]string{"enrol": "failed", "seat-check": "served"} {
		synctest.Test(t, func(t *testing.T) {
			r := world(t).start(options{amqp: true})
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
			if n := len(r.yard.Sent("r1")); (n == 1) != (class == "enrol") {
				t.Errorf("%s: sent %d times", class, n)
			}
		})
	}
}

// copies stands for what keeps promises: it knows the outcome of every job.
type copies struct{ asked []string }

func (c *copies) Take(j *dispatch.Job) error {
	c.asked = append(c.asked, j.Key)
	j.Reply(dispatch.Answer{Verdict: dispatch.Served, Result: []byte("as it stands")})
	return nil
}
func (c *copies) Leave(*dispatch.Job) {}

// Where jobs are taken for keeps, the copies know of a redelivered one what this dispatcher's ledger doesn't: they are asked,
// and the successor's client gets the outcome that stands.
func TestRedeliveredAsksTheCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
		q := r.queue()
		q.put(task{"r1", "enrol", "k1", "silent,done", 5 * time.Second})
		time.Sleep(time.Second)
		r.stop()
		r.broker.Drop("jobs")
		time.Sleep(time.Second)
		kept := &copies{}
		r.start(options{amqp: true, taker: kept})
		if c := q.answer(); c.verdict != "served" || c.body != "as it stands" || len(kept.asked) != 1 || len(r.yard.Sent("r1")) != 1 {
			t.Errorf("answered %+v, the copies were asked for %q, it was sent %d times", c, kept.asked, len(r.yard.Sent("r1")))
		}
	})
}

// A worker's queue that is not there proves that nothing ran; a channel that drops after a publish does not.
func TestReturnedAndLostPublishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true, queues: true, lostQueue: true})
		q := r.queue()
		q.put(task{"r1", "enrol", "k1", "done", 5 * time.Second})
		if c := q.answer(); c.verdict != "refused" || c.after == "" {
			t.Errorf("answered %+v", c)
		}
		if n := r.core.Counters.Outcomes[ivyfold.ConnectFailed].Load(); n == 0 || len(r.yard.Sent("r1")) != 0 {
			t.Errorf("%d attempts count as never run, %v sent", n, r.yard.Sent("r1"))
		}
	})
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true, queues: true})
		q := r.queue()
		q.put(task{"r2", "enrol", "k2", "done/4s", 3 * time.Second})
		time.Sleep(time.Second)
		r.broker.Drop("jobs")
		synctest.Wait()
		if n := r.core.Counters.Outcomes[ivyfold.Reset].Load(); n != 1 {
			t.Errorf("%d attempts count as lost", n)
		}
		if c := q.answer(); c.verdict == "none" || c.verdict == "malformed" {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
	})
}

// A client leaves just when its job has been given to a queue's floor: nothing is published.
func TestClientLeavesBeforeItsJobIsPublished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(context.Background())
		r := world(t).start(options{queues: true, sees: func(m *dispatch.Moment) {
			if m.Sight == dispatch.SawSent {
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
		if c := r.core.Counters; len(r.yard.Sent("p1")) != 0 || c.Sent.Load() != 1 || c.Outcomes[ivyfold.Moot].Load() != 1 || r.core.Open() != 0 {
			t.Errorf("published %v; %s", r.yard.Sent("p1"), r.core.Line())
		}
	})
}

func TestMalformedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
		q := r.queue()
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
			if spoil == nil { // it waited in the queue for longer than its client did: refused, never sent
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
		if r.broker.Rejected != 1 || len(r.yard.Sent("m")) != 0 {
			t.Errorf("%d rejected, %d sent", r.broker.Rejected, len(r.yard.Sent("m")))
		}
	})
}

// What the HTTP/1.1 floor alone can meet, and what passes through as it came.
func TestWorkersOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
		for _, k := range []struct {
			script, verdict string
			sends           int
		}{
			{"done-odd", "served", 1}, {"500,done", "served", 2}, {"503,done", "served", 2}, {"503-maybe,done", "served", 2},
			{"break,done", "served", 2}, {"truncated,done", "served", 2},
		} {
			time.Sleep(2 * time.Second)
			c := r.post(task{k.script, "enrol", "key " + k.script, k.script, 5 * time.Second})
			if sent := r.yard.Sent(k.script); c.verdict != k.verdict || len(sent) != k.sends {
				t.Errorf("%s: %+v after %v", k.script, c, sent)
			}
			if c.verdict == "served" && c.body != Result(k.script) {
				t.Errorf("%s: the result is %q", k.script, c.body)
			}
			h := r.yard.Heads[k.script]
			if h.Get("Idempotency-Key") != "key "+k.script || r.yard.Target[k.script] != "/enrol/x?y=%20z" || h.Get("X-Attrs") != "slots=1" {
				t.Errorf("%s: what passed on is %q with %v", k.script, r.yard.Target[k.script], h)
			}
			if h.Get("X-Timeout") == "" || len(h["X-Request-Id"]) != 1 {
				t.Errorf("%s: head %v", k.script, h)
			}
		}
		if len(r.yard.Broken) > 0 {
			t.Error(r.yard.Broken)
		}
	})
}

// raw sends bytes on a connection of its own and gives the status line and what follows.
func (r *rig) raw(text string) (string, string) {
	conn, err := r.net.Dial(context.Background(), here)
	if err != nil {
		return err.Error(), ""
	}
	defer conn.Close()
	go io.WriteString(conn, text)
	conn.SetReadDeadline(time.Now().Add(time.Minute))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error(), ""
	}
	body, _ := io.ReadAll(resp.Body)
	return resp.Status[:3], string(body)
}

func TestPortalRejectsWhatIsNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
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
			if status, _ := r.raw(text); status != k.status {
				t.Errorf("%s: answered %s", name, status)
			}
		}
		for path, want := range map[string]string{"/up": "200", "/counters": "200", "/other": "404"} {
			if status, _ := r.raw("GET " + path + " HTTP/1.1\r\nHost: b\r\n\r\n"); status != want {
				t.Errorf("GET %s: answered %s", path, status)
			}
		}
		chunked := strings.Replace(good, "Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 1)
		if status, body := r.raw(strings.Replace(chunked, "p1", "p9", 1)); status != "200" || body != Result("p9") {
			t.Errorf("in chunks: answered %s, %s", status, body)
		}
		if r.core.Open() != 0 || r.core.Counters.Taken.Load() != 2 {
			t.Errorf("%d open, %d taken", r.core.Open(), r.core.Counters.Taken.Load())
		}
	})
}

// A client that goes away ends its job: nothing is sent again. The worker works on, so its slot and connection stay
// taken until it has said how it ended; one that says nothing more is given up at the job's deadline.
func TestClientGone(t *testing.T) {
	for script, want := range map[string]ivyfold.Outcome{"done/3s": ivyfold.OK, "silent": ivyfold.TimedOut} {
		synctest.Test(t, func(t *testing.T) {
			r := world(t).start(options{})
			ctx, cancel := context.WithCancel(context.Background())
			req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+here+"/seat-check", strings.NewReader(script))
			for k, v := range map[string]string{"X-Request-ID": "g1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "5"} {
				req.Header.Set(k, v)
			}
			time.AfterFunc(time.Second, cancel)
			if _, err := r.client.Do(req); err == nil {
				t.Error("an answer came")
			}
			synctest.Wait()
			c, idle, open := r.core.Counters, 0, 0
			if idle, open = r.floor.Idle(); r.core.Open() != 0 || c.Left.Load() != 1 || idle != 0 || open != 1 {
				t.Errorf("%s, after it left: %d of %d connections idle, %s", script, idle, open, r.core.Line())
			}
			time.Sleep(4 * time.Second)
			kept := 0
			if want == ivyfold.OK {
				kept = 1
			}
			if idle, open = r.floor.Idle(); c.Outcomes[want].Load() != 1 || idle != kept || open != kept || len(r.yard.Sent("g1")) != 1 {
				t.Errorf("%s, in the end: %d of %d connections idle, %s", script, idle, open, r.core.Line())
			}
		})
	}
}

// On leaving, new connections are still served, answers close theirs, and what was taken is answered.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
		slow := make(chan came)
		go func() { slow <- r.post(task{"l1", "seat-check", "", "done/4s", 5 * time.Second}) }()
		time.Sleep(time.Second)
		r.portal.Leave()
		if status, _ := r.raw("GET /up HTTP/1.1\r\nHost: b\r\n\r\n"); status != "503" {
			t.Errorf("/up answers %s", status)
		}
		dials := r.net.Dials
		for _, id := range []string{"l2", "l3"} {
			if c := r.post(task{id, "seat-check", "", "done", 5 * time.Second}); c.verdict != "served" {
				t.Errorf("%s: %+v", id, c)
			}
		}
		if r.net.Dials < dials+2 {
			t.Error("an answer did not close its connection")
		}
		if c := <-slow; c.verdict != "served" || !c.closed {
			t.Errorf("the job that was out: %+v", c)
		}
		done := make(chan error)
		go func() { done <- r.portal.Farewell(context.Background()) }()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Nothing new goes to a worker once it drains, and a watch that breaks or goes silent is asked for again.
func TestDrainsAndBrokenWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
		time.Sleep(5 * time.Second)
		if calls := r.list.Calls(); len(calls) != 1 || calls[0] != "/discovery/hosts?watch=1&after=7" {
			t.Fatalf("calls %v", calls)
		}
		r.list.Changes <- `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","lifecycle":"gone"},` +
			`{"instanceId":"s-1ce9565e","hostPort":"127.0.1.1:5000","zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1}]}`
		synctest.Wait()
		if w := r.core.Workers(); w != [3]int{0, 2, 1} {
			t.Errorf("workers by state: %v", w)
		}
		for i := range 30 {
			id := fmt.Sprint("d", i)
			r.post(task{id, "seat-check", "", "done/30ms", 5 * time.Second})
			for _, to := range r.yard.Sent(id) {
				if to == names[0] || to == names[1] {
					t.Errorf("%s was sent to %s", id, to)
				}
			}
		}
		r.list.mu.Lock()
		r.list.Status, r.list.Mute = http.StatusServiceUnavailable, true
		r.list.mu.Unlock()
		time.Sleep(20 * time.Second) // no line for so long: silent, and the next calls fail
		failed := len(r.list.Calls())
		if failed < 3 || !strings.HasSuffix(r.list.Calls()[1], "after=9") {
			t.Errorf("calls %v", r.list.Calls())
		}
		r.list.mu.Lock()
		r.list.Status, r.list.Mute = 0, false
		r.list.mu.Unlock()
		time.Sleep(10 * time.Second)
		if len(r.list.Calls()) <= failed || r.core.Workers() != [3]int{0, 4, 0} {
			t.Errorf("calls %v, workers %v", r.list.Calls(), r.core.Workers())
		}
	})
}

// A line that breaks off: its whole entries count at once, nobody else is taken as gone, and discovery is called again
// well within the grace of a drain, however often that happens in a row.
func TestLineOfTheWatchBreaksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
		for n := range 6 {
			time.Sleep(time.Second)
			r.list.Changes <- `{"generation":9,"reset":true,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000",` +
				`"zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1},{"instanceId":"s-1ce9565e","lifecy` + "\x00"
			synctest.Wait()
			if w := r.core.Workers(); w != [3]int{0, 3, 1} {
				t.Errorf("break %d: workers by state %v", n, w)
			}
			time.Sleep(r.node.Module.DrainGrace / 2)
			if calls := r.list.Calls(); len(calls) != n+2 || !strings.HasSuffix(calls[n+1], "&after=0") {
				t.Errorf("break %d: calls %v", n, calls)
			}
			if w := r.core.Workers(); w != [3]int{0, 4, 0} {
				t.Errorf("after break %d: workers by state %v", n, w)
			}
		}
	})
}

// Where lists are pushed nobody asks for them: the agent on the dispatcher's machine is called at the start, and again
// whenever a watch at it ends. Before, it was not called at all, and a dispatcher knew what its start had told it.
func TestPushedListsAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t)
		r.pushed = true
		r.start(options{})
		if calls := r.list.Calls(); len(calls) != 1 {
			t.Fatalf("calls %v", calls)
		}
		const drains = `{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000",` +
			`"zone":"montreal","machineType":"std-2c","lifecycle":"draining","weight":1}]}`
		r.list.Changes <- drains
		synctest.Wait()
		if w := r.core.Workers(); w != [3]int{0, 3, 1} {
			t.Errorf("workers by state: %v", w)
		}
		r.list.set(func() { r.list.Mute = true; r.list.drop() }) // discovery is down: the agent says what it holds, then nothing
		time.Sleep(30 * time.Second)
		if calls := len(r.list.Calls()); calls < 3 || calls > 20 || r.core.Workers() != [3]int{0, 4, 0} {
			t.Errorf("%d calls in half a minute of silence, workers %v", calls, r.core.Workers())
		}
		r.list.Changes <- drains
		synctest.Wait()
		if w := r.core.Workers(); w != [3]int{0, 3, 1} {
			t.Errorf("after the silence: workers by state %v", w)
		}
	})
}

// A list of another deployment, or one older than what the same watch has said, leaves the last good one in use; only
// who leaves by an older list is not sent to any more.
func TestForeignAndOldLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
		for _, step := range []struct {
			line string
			want [3]int // gone, ready, draining
		}{
			{`{"generation":20,"reset":false,"instances":[]}`, [3]int{0, 4, 0}},
			{`{"generation":30,"reset":true,"instances":[{"instanceId":"x-1","hostPort":"127.0.9.1:1","zone":"mars","machineType":"rover","lifecycle":"ready"}]}`, [3]int{0, 4, 0}},
			{`{"generation":9,"reset":true,"instances":[]}`, [3]int{0, 4, 0}},
			{`{"error":"no such list"}`, [3]int{0, 4, 0}},
			{`{"generation":9,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000","zone":"montreal","machineType":"std-2c","lifecycle":"draining"}]}`, [3]int{0, 3, 1}},
			{`{"generation":8,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000","zone":"montreal","machineType":"std-2c","lifecycle":"ready"}]}`, [3]int{0, 3, 1}},
			{`{"generation":21,"reset":false,"instances":[{"instanceId":"s-0badcafe","hostPort":"127.0.1.0:5000","zone":"montreal","machineType":"std-2c","lifecycle":"ready"}]}`, [3]int{0, 4, 0}},
			{`{"generation":22,"reset":true,"instances":[]}`, [3]int{0, 0, 0}},
		} {
			r.list.Changes <- step.line
			synctest.Wait()
			if w := r.core.Workers(); w != step.want {
				t.Errorf("%s: workers by state %v, not %v", step.line, w, step.want)
			}
		}
		if calls := r.list.Calls(); len(calls) != 1 {
			t.Errorf("calls %v: the watch did not hold", calls)
		}
	})
}

// Discovery at another address: the old watch ends at once, the new one asks for everything whatever version the old
// address was at, nothing that the old one says counts any more, and the job that is out goes on.
func TestDiscoveryMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{})
		l := r.net.Listen("127.0.0.1:8600")
		next := &Roster{Changes: make(chan string), Whole: config.Roster{Generation: 3, Reset: true, Workers: r.list.Whole.Workers[:3]}}
		srv := &http.Server{Handler: next}
		go srv.Serve(l)
		r.ends = append(r.ends, func() { srv.Close() })
		slow := make(chan came)
		go func() { slow <- r.post(task{"m1", "seat-check", "", "done/2s", 5 * time.Second}) }()
		time.Sleep(time.Second)
		began := time.Now()
		r.watch.Move("127.0.0.1:8600")
		synctest.Wait()
		if calls := next.Calls(); len(calls) != 1 || !strings.HasSuffix(calls[0], "&after=0") || time.Since(began) != 0 {
			t.Errorf("calls %v after %v", calls, time.Since(began))
		}
		if w := r.core.Workers(); w[ivyfold.Ready] != 3 {
			t.Errorf("workers by state: %v", w)
		}
		select {
		case r.list.Changes <- `{"generation":99,"reset":true,"instances":[]}`:
			t.Error("somebody still watches at the old address")
		case <-time.After(100 * time.Millisecond):
		}
		if c := <-slow; c.verdict != "served" || len(r.yard.Sent("m1")) != 1 {
			t.Errorf("the job that was out: %+v, sent to %v", c, r.yard.Sent("m1"))
		}
		r.watch.Move("127.0.0.1:8600") // a reload that changes nothing disturbs nothing
		time.Sleep(time.Second)
		if calls := next.Calls(); len(calls) != 1 || len(r.list.Calls()) != 1 {
			t.Errorf("calls %v there, %v at the old address", calls, r.list.Calls())
		}
	})
}

// Told to leave, the AMQP front takes nothing more, and what it took is answered and acked.
func TestLeavingTheBroker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
		q := r.queue()
		q.put(task{"v1", "enrol", "k1", "done/3s", 5 * time.Second})
		time.Sleep(time.Second)
		r.desk.Leave()
		synctest.Wait()
		q.put(task{"v2", "enrol", "k2", "done", 5 * time.Second})
		if err := r.desk.Settled(context.Background()); err != nil {
			t.Error(err)
		}
		if c := q.answer(); c.verdict != "served" || c.body != Result("v1") {
			t.Errorf("answered %+v", c)
		}
		q.none(t)
		if len(r.yard.Sent("v2")) != 0 || r.broker.Settled != 1 {
			t.Errorf("v2 was sent %v, %d deliveries acked", r.yard.Sent("v2"), r.broker.Settled)
		}
	})
}

// A client's own new try of a key: with a served one it gets the result and nothing is sent; after a refusal it runs.
func TestNewTryOfAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
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
			if c := q.answer(); c.verdict != k.verdict || c.body != k.body || len(r.yard.Sent(k.id)) != k.sends {
				t.Errorf("%s: %+v after %v", k.id, c, r.yard.Sent(k.id))
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(r.node.Limits.Remember) // now the key is forgotten, and a new try is a new job
		q.put(task{"t6", "enrol", "k1", "done", 5 * time.Second})
		if c := q.answer(); c.body != Result("t6") {
			t.Errorf("after the window: %+v", c)
		}
	})
}

// visitor is one connection of a client that reads whatever it is sent.
type visitor struct {
	net.Conn
	since time.Time
	mu    sync.Mutex
	heard string
	over  bool
}

func (r *rig) visit() *visitor {
	c, err := r.net.Dial(context.Background(), here)
	if err != nil {
		r.t.Fatal(err)
	}
	v := &visitor{Conn: c, since: time.Now()}
	go func() {
		for b := make([]byte, 4<<10); ; {
			n, err := c.Read(b)
			v.mu.Lock()
			v.heard, v.over = v.heard+string(b[:n]), err != nil
			v.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return v
}

// says sends some text, as far as the other end takes it, and gives what has come back since the last time.
func (v *visitor) says(text string) (heard string, over bool) {
	go io.WriteString(v.Conn, text)
	synctest.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	heard, v.heard = v.heard, ""
	return heard, v.over
}

// A client's connections in random steps: silent ones, heads that drip, usual requests on new and on kept connections,
// and time. Whoever has not said a whole head within the limit has an answer or a close; the usual ones are always
// served; and no more connections are open than the limits allow.
func TestClientConnectionStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			w := world(t)
			w.spare = 12
			r := w.start(options{})
			defer r.end()
			const usual = "GET /up HTTP/1.1\r\nHost: b\r\n\r\n"
			var waiting, kept []*visitor // those that have not said a whole head; those that were served
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1:
					waiting = append(waiting, r.visit())
				case 2:
					if len(waiting) > 0 {
						waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "who")].says(rapid.SampledFrom([]string{"G", "GET", "x", "\x00", "Host: b\r\n"}).Draw(rt, "drop"))
					}
				case 3:
					v := r.visit()
					if heard, _ := v.says(usual); !strings.HasPrefix(heard, "HTTP/1.1 200 ") {
						rt.Errorf("a usual client among %d waiting and %d kept hears %q", len(waiting), len(kept), heard)
					}
					kept = append(kept, v)
				case 4:
					if len(kept) > 0 {
						v := kept[rapid.IntRange(0, len(kept)-1).Draw(rt, "whom")]
						if heard, over := v.says(usual); !over && !strings.HasPrefix(heard, "HTTP/1.1 200 ") {
							rt.Errorf("on a kept connection a usual client hears %q", heard)
						}
					}
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
				}
				synctest.Wait()
				open := 0
				for _, v := range append(waiting[:len(waiting):len(waiting)], kept...) {
					v.mu.Lock()
					if !v.over {
						open++
					}
					v.mu.Unlock()
				}
				for _, v := range waiting {
					if heard, over := v.says(""); heard == "" && !over && time.Since(v.since) >= r.node.Limits.ReadHead {
						rt.Errorf("a client that says nothing whole has no answer after %v", time.Since(v.since))
					}
				}
				if open > r.spare {
					rt.Errorf("%d connections are open", open)
				}
			}
			for _, v := range append(waiting, kept...) {
				v.Close()
			}
		})
	})
}

// The id of a job that is open is no id for another: that one gets an error, the first one its own answer.
func TestIDOfAnOpenJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := world(t).start(options{amqp: true})
		first := make(chan came)
		go func() { first <- r.post(task{"o1", "enrol", "k1", "done/1s", 5 * time.Second}) }()
		time.Sleep(500 * time.Millisecond)
		if c := r.post(task{"o1", "enrol", "k2", "done", 5 * time.Second}); c.verdict != "failed" || c.took != 0 || !c.closed {
			t.Errorf("the second one: %+v", c)
		}
		q := r.queue()
		q.put(task{"o1", "enrol", "k3", "done", 5 * time.Second})
		if c := q.answer(); c.verdict != "malformed" || c.took > 10*time.Millisecond {
			t.Errorf("the third one: %+v", c)
		}
		if c := <-first; c.verdict != "served" || c.body != Result("o1") || len(r.yard.Sent("o1")) != 1 {
			t.Errorf("the first one: %+v after %v", c, r.yard.Sent("o1"))
		}
		if c := r.post(task{"o1", "seat-check", "", "done", 5 * time.Second}); c.verdict != "served" { // nobody has it any more
			t.Errorf("after its end: %+v", c)
		}
	})
}

// What the connection to the broker can go through (up, dropped, confirms refused, late) in random steps, with jobs in
// between: each job is answered, all its answers say the same, and no worker sees two attempts of one at a time or an
// enrol again that had run to its end.
func TestBrokerConnectionStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) { // a bubble has no deadline to ask for
			r := world(t).start(options{amqp: true})
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
					r.broker.Doubt(rapid.IntRange(1, 3).Draw(rt, "nacks"))
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
				if n := len(r.yard.Sent(id)); k.class == "enrol" && strings.HasPrefix(k.script, "done") && n > 1 {
					rt.Errorf("%+v: sent %d times", k, n)
				}
			}
			if len(r.yard.Broken) > 0 || r.core.Open() != 0 || r.broker.Left() != 0 {
				rt.Errorf("%v; %d open; %d deliveries not settled", r.yard.Broken, r.core.Open(), r.broker.Left())
			}
		})
	})
}
