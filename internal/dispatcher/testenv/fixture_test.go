// Test fixture: a dispatcher with its workers, discovery, broker and clients, in virtual time.

package testenv

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	amqpadapter "gladepick/internal/dispatcher/amqp"
	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/workerhttp"
)

const (
	dispatcherAddress = "127.0.0.1:5000"
	brokerAddress     = "127.0.0.1:5672"
)

var workerNames = []string{"s-0badcafe", "s-1ce9565e", "s-3f2d6233", "s-9adcbe7d"}

// testDispatcher is a whole dispatcher and its environment on an in-memory network.
type testDispatcher struct {
	t               *testing.T
	net             *Network
	workers         *WorkerGroup
	broker          *Broker
	discoveryServer *DiscoveryServer
	watch           *discovery.Watcher
	node            *config.Node
	core            *dispatch.Core
	transport       *workerhttp.Transport
	clientServer    *clienthttp.Server
	adapter         *amqpadapter.Adapter
	stop            func()
	client          *http.Client
	cleanups        []func()
	clientConnLimit int  // limit of client connections; 0: the usual one
	pushedLists     bool // lists of workers are pushed
}

type options struct {
	queues, amqp, missingQueues bool
	durable                     dispatch.Submitter // durable jobs: accepts keyed jobs in place of the core
	observer                    observerFunc       // observes the core's events; may be nil
}

// observerFunc is an observer of the core's events.
type observerFunc func(*dispatch.Event)

func (s observerFunc) Observe(m *dispatch.Event) { s(m) }

// newTestDispatcher starts the environment: four HTTP workers, a discovery server and a broker.
func newTestDispatcher(t *testing.T) *testDispatcher {
	r := &testDispatcher{t: t, net: &Network{Silent: map[string]bool{}}, workers: &WorkerGroup{}, broker: &Broker{}, discoveryServer: &DiscoveryServer{Changes: make(chan string)}}
	r.broker.Queue("jobs")
	bl, dl := r.net.Listen(brokerAddress), r.net.Listen("127.0.0.1:8500")
	go r.broker.Serve(bl)
	srv := &http.Server{Handler: r.discoveryServer}
	go srv.Serve(dl)
	var open []net.Listener
	for i, name := range workerNames {
		l := r.net.Listen(fmt.Sprintf("127.0.1.%d:5000", i))
		open = append(open, l)
		go r.workers.Worker(l, name)
	}
	r.client = &http.Client{Transport: &http.Transport{DialContext: dialContext(r.net)}}
	t.Cleanup(r.end)
	r.cleanups = append(r.cleanups, func() {
		r.client.CloseIdleConnections()
		srv.Close()
		bl.Close()
		for _, l := range open {
			l.Close()
		}
		r.broker.Drop("jobs")
		for _, name := range workerNames {
			r.broker.Drop(name)
		}
		time.Sleep(time.Minute) // all waiting goroutines end
	})
	return r
}

// end runs the cleanup functions, the last one first.
func (r *testDispatcher) end() {
	for ; len(r.cleanups) > 0; r.cleanups = r.cleanups[:len(r.cleanups)-1] {
		r.cleanups[len(r.cleanups)-1]()
	}
}

// start starts the dispatcher, and with o.queues a queue worker in place of each HTTP worker.
func (r *testDispatcher) start(o options) *testDispatcher {
	text := ""
	var listed []config.Worker
	if o.amqp || o.queues {
		text = "[amqp]\nurl = \"amqp://guest:guest@" + brokerAddress + "/\"\njobs = \"jobs\"\n"
	}
	for i, name := range workerNames {
		if !o.queues {
			listed = append(listed, Worker(name, fmt.Sprintf("127.0.1.%d:5000", i), "ready"))
			continue
		}
		text += fmt.Sprintf("[[amqp.worker]]\nid = %q\nqueue = %q\nzone = \"montreal\"\nkind = \"std-2c\"\n", name, name)
		if o.missingQueues {
			continue
		}
		r.broker.Queue(name)
		c, err := Connect(r.net, brokerAddress)
		if err != nil {
			r.t.Fatal(err)
		}
		if err := r.workers.QueueWorker(c, name, name); err != nil {
			r.t.Fatal(err)
		}
	}
	r.discoveryServer.mu.Lock()
	r.discoveryServer.Complete = config.WorkerList{Generation: 8, Reset: true, Workers: listed}
	r.discoveryServer.mu.Unlock()
	n := Node(r.t, listed, text)
	if r.pushedLists {
		n.Module.Discovery = decision.DiscoveryPush
	}
	if r.clientConnLimit > 0 {
		n.Limits.ClientConns, n.Limits.ClientConnsWithoutHead = r.clientConnLimit, r.clientConnLimit/3
	}
	counters := new(dispatch.Counters)
	r.node, r.transport = n, workerhttp.New(n, counters)
	r.transport.Dial = r.net.Dial
	watch := discovery.New(n)
	watch.Dial = dialContext(r.net)
	var queues dispatch.Transport
	var fixed []config.Worker
	if text != "" {
		r.adapter = amqpadapter.New(n, counters)
		r.adapter.Dial = Dialer(r.net)
		queues, fixed = r.adapter, r.adapter.Workers()
	}
	var err error
	if r.core, err = dispatch.New(n, counters, r.transport, queues, watch, fixed); err != nil {
		r.t.Fatal(err)
	}
	if o.observer != nil {
		r.core.Observer = o.observer
	}
	watch.OnList, r.watch = r.core.UpdateWorkers, watch
	ctx, cancel := context.WithCancel(context.Background())
	go r.core.Run(ctx)
	go watch.Run(ctx)
	if r.adapter != nil {
		if r.adapter.Jobs = r.core; o.durable != nil {
			r.adapter.Jobs, r.adapter.DurableJobs = o.durable, true
		}
		go r.adapter.Run(ctx)
	}
	r.clientServer = clienthttp.New(n, r.core)
	l := r.net.Listen(dispatcherAddress)
	go r.clientServer.Serve(l)
	r.stop = func() {
		cancel()
		done, cancelDone := context.WithCancel(context.Background())
		cancelDone()
		r.clientServer.Shutdown(done)
		l.Close()
		r.client.CloseIdleConnections()
		for _, w := range listed {
			r.transport.CloseIdle(w)
		}
	}
	r.cleanups = append(r.cleanups, r.stop)
	time.Sleep(time.Millisecond)
	return r
}

// task is a job of a client; script says what the workers do with it (see WorkerGroup.beginJob).
type task struct {
	id, class, key, script string
	timeout                time.Duration
}

// receivedAnswer is what a client receives for a job.
type receivedAnswer struct {
	id, verdict, body, retryAfter string
	took                          time.Duration
	closed                        bool // the server closed the connection after the answer
}

// post sends a job over HTTP/1.1 and waits for its answer.
func (r *testDispatcher) post(k task) receivedAnswer {
	req, _ := http.NewRequest("POST", "http://"+dispatcherAddress+"/"+k.class+"/x?y=%20z", strings.NewReader(k.script))
	req.Header.Set("X-Request-ID", k.id)
	req.Header.Set("X-Priority-Class", k.class)
	req.Header.Set("X-Tenant-Id", "univ-laurentie")
	req.Header.Set("X-Timeout", fmt.Sprint(k.timeout.Seconds()))
	req.Header.Set("X-Attrs", "slots=1")
	if k.key != "" {
		req.Header.Set("Idempotency-Key", k.key)
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return receivedAnswer{verdict: err.Error()}
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	c := receivedAnswer{verdict: "failed", retryAfter: resp.Header.Get("Retry-After"), took: time.Since(began), closed: resp.Close}
	switch resp.StatusCode {
	case 200:
		c.verdict, c.body = "served", string(body)
	case 429, 503:
		c.verdict = "refused"
	}
	return c
}

// queueClient is a client that publishes jobs to the broker.
type queueClient struct {
	r       *testDispatcher
	conn    *amqp.Connection
	ch      *amqp.Channel
	answers <-chan amqp.Delivery
}

// newQueueClient connects a queueClient.
func (r *testDispatcher) newQueueClient() *queueClient {
	c, err := Connect(r.net, brokerAddress)
	if err != nil {
		r.t.Fatal(err)
	}
	r.cleanups = append(r.cleanups, func() { c.Close() })
	ch, err := c.Channel()
	if err != nil {
		r.t.Fatal(err)
	}
	r.broker.Queue("answers")
	answers, err := ch.Consume("answers", "", true, false, false, false, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return &queueClient{r, c, ch, answers}
}

func (q *queueClient) putTask(k task) {
	q.publish(amqp.Publishing{CorrelationId: k.id, MessageId: k.key, Type: k.class, ReplyTo: "answers",
		Expiration: fmt.Sprint(k.timeout.Milliseconds()), Headers: amqp.Table{"x-tenant-id": "univ-laurentie", "x-slots": "1"}, Body: []byte(k.script)})
}

func (q *queueClient) publish(p amqp.Publishing) {
	if err := q.ch.Publish("", "jobs", false, false, p); err != nil {
		q.r.t.Fatal(err)
	}
}

// answer waits for the next answer. Its verdict is "none" if no answer arrives within a minute.
func (q *queueClient) answer() receivedAnswer {
	began := time.Now()
	select {
	case m := <-q.answers:
		retryAfter, _ := m.Headers["retry-after"].(string)
		reason, _ := m.Headers["reason"].(string)
		body := string(m.Body)
		if reason != "" {
			body = reason
		}
		return receivedAnswer{id: m.CorrelationId, verdict: m.Type, body: body, retryAfter: retryAfter, took: time.Since(began)}
	case <-time.After(time.Minute):
		return receivedAnswer{verdict: "none"}
	}
}

// expectNoAnswer fails the test if another answer arrives within a minute.
func (q *queueClient) expectNoAnswer(t *testing.T) {
	t.Helper()
	if c := q.answer(); c.verdict != "none" {
		t.Errorf("received another answer: %+v", c)
	}
}

// duration returns the duration in the last step of the job's script, or 0.
func (k task) duration() time.Duration {
	_, length, _ := strings.Cut(k.script[strings.LastIndex(k.script, ",")+1:], "/")
	d, _ := time.ParseDuration(length)
	return d
}

// sendRaw sends text on a new connection and returns the status code and the body of the answer.
func (r *testDispatcher) sendRaw(text string) (string, string) {
	conn, err := r.net.Dial(context.Background(), dispatcherAddress)
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
