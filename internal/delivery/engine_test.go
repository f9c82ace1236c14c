package delivery_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestDeliversTheRequestAsItCame(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		h.listAll()
		h.submit("m", "r", withKey("k"), func(m *message.Message) { m.ContentType = "text/plain" })
		time.Sleep(time.Second)
		all := h.requests()
		assert.Equal(t, len(all), 1)
		got := all[0]
		assert.Equal(t, got.method, http.MethodPost)
		assert.Equal(t, got.target, "/r/x?q=%20y")
		assert.Equal(t, got.host, "h.example")
		assert.Equal(t, got.body, "body of m")
		assert.Equal(t, got.header.Get("X-Order-Key"), "k")
		assert.Equal(t, got.header.Get("Content-Type"), "text/plain")
		assert.Equal(t, got.header.Get("X-Expect-Instance"), "i-1")
		assert.Equal(t, got.header.Get("Content-Length"), "9")
		assert.Equal(t, got.header.Get("X-Deadline-Ms"), "500")
		assert.Equal(t, got.header.Get("User-Agent"), "")
		assert.Equal(t, got.header.Get("Accept-Encoding"), "")
		assert.Equal(t, h.owner.outcome("m"), message.Outcome{State: message.Completed, Stamp: "stamp-request-m"})
		assert.Equal(t, h.engine.Stats().Queued, 0)
	})
}

func TestKeepsToTheDueTime(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		h.listAll()
		h.submit("late", "r", dueAfter(1500*time.Millisecond))
		h.submit("soon", "r", dueAfter(300*time.Millisecond))
		time.Sleep(3 * time.Second)
		for id, delay := range map[string]time.Duration{"late": 1500 * time.Millisecond, "soon": 300 * time.Millisecond} {
			came := h.requestsOf(id)
			assert.Equal(t, len(came), 1)
			assert.Assert(t, came[0].at >= delay && came[0].at < delay+10*time.Millisecond, "%s came at %v", id, came[0].at)
		}
	})
}

// TestOrderUnderFailures checks that messages with one order key run one after the other, whatever fails meanwhile.
func TestOrderUnderFailures(t *testing.T) {
	withHarness(t, func(h *harness) {
		wrongID := func(_ receivedRequest, answer http.ResponseWriter) {
			answer.Header().Set("X-Request-Id", "another")
			answer.WriteHeader(http.StatusOK)
		}
		faults := []func(receivedRequest, http.ResponseWriter){answerWith(500), abort, answerWith(503), wrongID, answerWith(504),
			answerWith(429), succeedAfter(5 * time.Millisecond), succeedAfter(5 * time.Millisecond), answerWith(422)}
		for i := range 3 {
			fake := h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1))
			turns := 0
			fake.respondWith(func(a receivedRequest, answer http.ResponseWriter) {
				fake.mutex.Lock()
				turns++
				handle := faults[(turns+i)%len(faults)]
				fake.mutex.Unlock()
				handle(a, answer)
			})
		}
		h.configure()
		h.listAll()
		const keys, each = 4, 10
		for i := range keys * each {
			h.submit(fmt.Sprintf("m%02d", i), "r", withKey(fmt.Sprint("k", i%keys)))
		}
		time.Sleep(60 * time.Second)
		assert.Equal(t, h.owner.countEnded(), keys*each)
		h.checkOrder()
	})
}

// checkOrder holds the arrivals of each key against the ends of the messages before.
func (h *harness) checkOrder() {
	h.t.Helper()
	first := map[string]string{} // the message that was last seen, by key
	for _, a := range h.requests() {
		id := a.id[len("request-"):]
		before := first[a.key]
		if before == id || a.key == "" {
			continue
		}
		assert.Assert(h.t, before < id, "%s came after %s", id, before)
		if before != "" {
			assert.Assert(h.t, h.owner.endOf(before) <= a.at, "%s came at %v, %s ended at %v", id, a.at, before,
				h.owner.endOf(before))
		}
		first[a.key] = id
	}
}

func TestDeadLetterAfterMaxAttempts(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(answerWith(500), answerWith(503), abort, answerWith(500), answerWith(409), answerWith(500)))
		h.configure()
		h.listAll()
		h.submit("m", "r")
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.DeepEqual(t, h.owner.failuresOf("m"), []int{1, 2})
		assert.Equal(t, len(h.requests()), 6)
	})
}

func TestEarlierFailuresCount(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(answerWith(500))
		h.configure()
		h.listAll()
		h.owner.setBody("m", "x")
		h.engine.Submit(&message.Message{ID: "m", Sequence: 1, Route: "r", Method: "POST", Target: "/r/", Host: "h.example",
			RequestID: "request-m", DueAt: time.Now(), ExpiresAt: time.Now().Add(time.Minute)}, 2)
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.Equal(t, len(h.requests()), 1)
	})
}

func TestRejectedForGood(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(answerWith(422))
		h.configure()
		h.listAll()
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.Equal(t, len(h.requests()), 1)
	})
}

// TestGarbledAnswersAreTriedAgain checks that nothing but a complete success with a stamp and the right id ends a
// message.
func TestGarbledAnswersAreTriedAgain(t *testing.T) {
	garbled := map[string]func(receivedRequest, http.ResponseWriter){
		"no stamp": answerWith(200),
		"wrong id": func(a receivedRequest, answer http.ResponseWriter) {
			answer.Header().Set("X-Request-Id", "another")
			succeed(a, answer)
		},
		"no id": func(a receivedRequest, answer http.ResponseWriter) {
			answer.Header().Del("X-Request-Id")
			succeed(a, answer)
		},
		"cut short": func(a receivedRequest, answer http.ResponseWriter) {
			answer.Header().Set("Content-Length", "100")
			succeed(a, answer)
			_ = http.NewResponseController(answer).Flush()
			panic(http.ErrAbortHandler)
		},
		"cut 422": func(_ receivedRequest, answer http.ResponseWriter) {
			answer.Header().Set("Content-Length", "100")
			answer.WriteHeader(422)
			_ = http.NewResponseController(answer).Flush()
			panic(http.ErrAbortHandler)
		},
		"422 of another": func(_ receivedRequest, answer http.ResponseWriter) {
			answer.Header().Set("X-Request-Id", "another")
			answer.WriteHeader(422)
		},
		"silence": func(receivedRequest, http.ResponseWriter) {
			time.Sleep(2 * time.Second)
			panic(http.ErrAbortHandler)
		},
		"gateway timeout": answerWith(504),
	}
	for name, handle := range garbled {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fake := h.addWorker("i-1", "s", "10.0.1.1")
				fake.respondWith(inSequence(handle, succeedAfter(5*time.Millisecond)))
				h.configure()
				h.listAll()
				h.submit("m", "r")
				time.Sleep(5 * time.Second)
				assert.Equal(t, h.owner.state("m"), message.Completed)
				assert.Equal(t, len(h.requests()), 2)
				assert.Equal(t, len(h.owner.failuresOf("m")), 0)
			})
		})
	}
}

func TestExpiry(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.configure() // there is no worker
		h.submit("m", "r", expiringAfter(3*time.Second))
		h.submit("n", "r", withKey("k"), expiringAfter(4*time.Second))
		h.submit("o", "r", withKey("k"), expiringAfter(time.Minute))
		time.Sleep(2990 * time.Millisecond)
		assert.Equal(t, h.owner.countEnded(), 0)
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.Equal(t, h.owner.state("n"), message.DeadLetter)
		assert.Equal(t, h.owner.state("o"), message.Queued)
		assert.Assert(t, h.owner.endOf("m") >= 3*time.Second && h.owner.endOf("m") < 4500*time.Millisecond)
		h.addWorker("i-1", "s", "10.0.1.1")
		h.listAll()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("o"), message.Completed)
	})
}

func TestDroppedRoutesEnd(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.submit("early", "r")
		h.submit("gone", "gone")
		h.submit("key1", "gone", withKey("k"))
		h.submit("key2", "gone", withKey("k"))
		h.submit("newer", "newer", func(m *message.Message) { m.ConfigVersion = version + 2 })
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 0) // no configuration yet
		h.addWorker("i-1", "s", "10.0.1.1")
		h.listAll()
		h.configure()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("early"), message.Completed)
		for _, id := range []string{"gone", "key1", "key2"} {
			assert.Equal(t, h.owner.state(id), message.DeadLetter)
		}
		assert.Equal(t, h.owner.state("newer"), message.Queued)
		h.engine.SetConfiguration(table(t, version+2, []route{{name: "newer", service: "s"}}, []service{{name: "s"}}))
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("newer"), message.Completed)
		assert.Equal(t, len(h.requests()), 2)
	})
}

func TestRouteThatMovesToAnotherService(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-2", "s2", "10.0.1.2")
		h.configure()
		h.listAll()
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, len(h.requests()), 0)
		h.engine.SetConfiguration(table(t, version+1, []route{{name: "r", service: "s2"}}, []service{{name: "s2"}}))
		synctest.Wait()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
	})
}
