// The states of client connections.

package testenv

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"gladepick/internal/decision"
)

// When a client disconnects, its job is not sent again. The worker continues, so its slot and connection stay in use
// until it reports the end. If it reports nothing, the dispatcher gives the attempt up at the job's deadline.
func TestJobOfDepartedClientIsNotRetried(t *testing.T) {
	for script, want := range map[string]decision.Outcome{"done/3s": decision.OK, "silent": decision.TimedOut} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestDispatcher(t).start(options{})
			ctx, cancel := context.WithCancel(context.Background())
			req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+dispatcherAddress+"/seat-check", strings.NewReader(script))
			for k, v := range map[string]string{"X-Request-ID": "g1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "5"} {
				req.Header.Set(k, v)
			}
			time.AfterFunc(time.Second, cancel)
			if _, err := r.client.Do(req); err == nil {
				t.Error("the client got an answer after it had left")
			}
			synctest.Wait()
			c, idle, open := r.core.Counters, 0, 0
			if idle, open = r.transport.ConnectionCounts(); r.core.OpenJobs() != 0 || c.Abandoned.Load() != 1 || idle != 0 || open != 1 {
				t.Errorf("%s, after the client left: %d of %d connections idle, %s", script, idle, open, r.core.CountersLine())
			}
			time.Sleep(4 * time.Second)
			wantIdle := 0
			if want == decision.OK {
				wantIdle = 1
			}
			if idle, open = r.transport.ConnectionCounts(); c.Outcomes[want].Load() != 1 || idle != wantIdle || open != wantIdle || len(r.workers.Sent("g1")) != 1 {
				t.Errorf("%s, after the attempt ended: %d of %d connections idle, %s", script, idle, open, r.core.CountersLine())
			}
		})
	}
}

// rawClient is one client connection that reads everything it receives.
type rawClient struct {
	net.Conn
	openedAt time.Time
	mu       sync.Mutex
	received string
	closed   bool
}

// openRawClient opens a rawClient connection.
func (r *testDispatcher) openRawClient() *rawClient {
	c, err := r.net.Dial(context.Background(), dispatcherAddress)
	if err != nil {
		r.t.Fatal(err)
	}
	v := &rawClient{Conn: c, openedAt: time.Now()}
	go func() {
		for b := make([]byte, 4<<10); ; {
			n, err := c.Read(b)
			v.mu.Lock()
			v.received, v.closed = v.received+string(b[:n]), err != nil
			v.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	return v
}

// send sends text, as far as the other end reads it. It returns what has arrived since the last call, and whether the
// connection is closed.
func (v *rawClient) send(text string) (received string, closed bool) {
	go io.WriteString(v.Conn, text)
	synctest.Wait()
	v.mu.Lock()
	defer v.mu.Unlock()
	received, v.received = v.received, ""
	return received, v.closed
}

// Client connections in random steps: silent ones, partial heads, ordinary requests on new and on idle connections, and
// passing time. A client without a complete head within the read timeout gets an answer or a close. Ordinary requests
// are always served. No more connections are open than the limit allows.
func TestSlowClientsDoNotStarveOrdinaryClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, func(rt *rapid.T) {
			w := newTestDispatcher(t)
			w.clientConnLimit = 12
			r := w.start(options{})
			defer r.end()
			const ordinaryRequest = "GET /up HTTP/1.1\r\nHost: b\r\n\r\n"
			var waiting, served []*rawClient // connections without a complete head; connections that were served
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1:
					waiting = append(waiting, r.openRawClient())
				case 2:
					if len(waiting) > 0 {
						waiting[rapid.IntRange(0, len(waiting)-1).Draw(rt, "who")].send(rapid.SampledFrom([]string{"G", "GET", "x", "\x00", "Host: b\r\n"}).Draw(rt, "drop"))
					}
				case 3:
					v := r.openRawClient()
					if received, _ := v.send(ordinaryRequest); !strings.HasPrefix(received, "HTTP/1.1 200 ") {
						rt.Errorf("an ordinary client beside %d waiting and %d served connections received %q", len(waiting), len(served), received)
					}
					served = append(served, v)
				case 4:
					if len(served) > 0 {
						v := served[rapid.IntRange(0, len(served)-1).Draw(rt, "whom")]
						if received, closed := v.send(ordinaryRequest); !closed && !strings.HasPrefix(received, "HTTP/1.1 200 ") {
							rt.Errorf("an ordinary client received %q on a connection served before", received)
						}
					}
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
				}
				synctest.Wait()
				open := 0
				for _, v := range append(waiting[:len(waiting):len(waiting)], served...) {
					v.mu.Lock()
					if !v.closed {
						open++
					}
					v.mu.Unlock()
				}
				for _, v := range waiting {
					if received, closed := v.send(""); received == "" && !closed && time.Since(v.openedAt) >= r.node.Limits.ReadTimeout {
						rt.Errorf("a client without a complete head has no answer after %v", time.Since(v.openedAt))
					}
				}
				if open > r.clientConnLimit {
					rt.Errorf("%d connections are open, over the limit", open)
				}
			}
			for _, v := range append(waiting, served...) {
				v.Close()
			}
		})
	})
}

// A second job with the id of an open job gets an error, and the first one keeps its own answer.
func TestJobWithIDOfOpenJobIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestDispatcher(t).start(options{amqp: true})
		first := make(chan receivedAnswer)
		go func() { first <- r.post(task{"o1", "enrol", "k1", "done/1s", 5 * time.Second}) }()
		time.Sleep(500 * time.Millisecond)
		if c := r.post(task{"o1", "enrol", "k2", "done", 5 * time.Second}); c.verdict != "failed" || c.took != 0 || !c.closed {
			t.Errorf("second job, over HTTP: %+v, want an immediate failure and a closed connection", c)
		}
		q := r.newQueueClient()
		q.putTask(task{"o1", "enrol", "k3", "done", 5 * time.Second})
		if c := q.answer(); c.verdict != "malformed" || c.took > 10*time.Millisecond {
			t.Errorf("third job, over AMQP: %+v, want malformed", c)
		}
		if c := <-first; c.verdict != "served" || c.body != Result("o1") || len(r.workers.Sent("o1")) != 1 {
			t.Errorf("first job: %+v after sends to %v, want its result after one send", c, r.workers.Sent("o1"))
		}
		if c := r.post(task{"o1", "seat-check", "", "done", 5 * time.Second}); c.verdict != "served" { // the id is free again
			t.Errorf("after the end of the first job: %+v, want served", c)
		}
	})
}
