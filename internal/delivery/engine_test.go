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

func TestRequestIsDeliveredUnchanged(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		h.setWorkers()
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

func TestMessageIsSentAtDueTime(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		h.setWorkers()
		h.submit("late", "r", dueAfter(1500*time.Millisecond))
		h.submit("soon", "r", dueAfter(300*time.Millisecond))
		time.Sleep(3 * time.Second)
		for id, delay := range map[string]time.Duration{"late": 1500 * time.Millisecond, "soon": 300 * time.Millisecond} {
			requests := h.requestsOf(id)
			assert.Equal(t, len(requests), 1)
			assert.Assert(t, requests[0].at >= delay && requests[0].at < delay+10*time.Millisecond, "%s arrived at %v",
				id, requests[0].at)
		}
	})
}

// TestFailuresDoNotReorderMessagesOfAKey checks that messages with one order key run one after the other, whichever
// failures occur meanwhile.
func TestFailuresDoNotReorderMessagesOfAKey(t *testing.T) {
	withHarness(t, func(h *harness) {
		wrongID := func(_ receivedRequest, writer http.ResponseWriter) {
			writer.Header().Set("X-Request-Id", "another")
			writer.WriteHeader(http.StatusOK)
		}
		faults := []func(receivedRequest, http.ResponseWriter){respondStatus(500), abort, respondStatus(503), wrongID,
			respondStatus(504), respondStatus(429), succeedAfter(5 * time.Millisecond), succeedAfter(5 * time.Millisecond), respondStatus(422)}
		for i := range 3 {
			fake := h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1))
			calls := 0
			fake.respondWith(func(request receivedRequest, writer http.ResponseWriter) {
				fake.mutex.Lock()
				calls++
				handle := faults[(calls+i)%len(faults)]
				fake.mutex.Unlock()
				handle(request, writer)
			})
		}
		h.configure()
		h.setWorkers()
		const keys, each = 4, 10
		for i := range keys * each {
			h.submit(fmt.Sprintf("m%02d", i), "r", withKey(fmt.Sprint("k", i%keys)))
		}
		time.Sleep(60 * time.Second)
		assert.Equal(t, h.owner.countEnded(), keys*each)
		h.checkOrder()
	})
}

// checkOrder checks for each order key that a message arrives at a worker only after the previous message has ended.
func (h *harness) checkOrder() {
	h.t.Helper()
	lastArrived := map[string]string{} // message id, by order key
	for _, request := range h.requests() {
		id := request.id[len("request-"):]
		previous := lastArrived[request.key]
		if previous == id || request.key == "" {
			continue
		}
		assert.Assert(h.t, previous < id, "%s arrived after %s", id, previous)
		if previous != "" {
			assert.Assert(h.t, h.owner.endOf(previous) <= request.at, "%s arrived at %v, but %s ended at %v", id, request.at, previous,
				h.owner.endOf(previous))
		}
		lastArrived[request.key] = id
	}
}

func TestDeadLetterAfterMaxAttempts(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(respondStatus(500), respondStatus(503), abort, respondStatus(500),
			respondStatus(409), respondStatus(500)))
		h.configure()
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.DeepEqual(t, h.owner.failuresOf("m"), []int{1, 2})
		assert.Equal(t, len(h.requests()), 6)
	})
}

func TestFailuresBeforeSubmitCount(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(respondStatus(500))
		h.configure()
		h.setWorkers()
		h.owner.setBody("m", "x")
		h.engine.Submit(&message.Message{ID: "m", Sequence: 1, Route: "r", Method: "POST", Target: "/r/", Host: "h.example",
			RequestID: "request-m", DueAt: time.Now(), ExpiresAt: time.Now().Add(time.Minute)}, 2)
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.Equal(t, len(h.requests()), 1)
	})
}

func TestUnprocessableMessageIsNotRetried(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(respondStatus(422))
		h.configure()
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.DeadLetter)
		assert.Equal(t, len(h.requests()), 1)
	})
}

// TestInvalidResponsesAreRetried guards against ending a message on a response that is incomplete, has no stamp, or
// does not name the request.
func TestInvalidResponsesAreRetried(t *testing.T) {
	garbled := map[string]func(receivedRequest, http.ResponseWriter){
		"no stamp": respondStatus(200),
		"wrong id": func(request receivedRequest, writer http.ResponseWriter) {
			writer.Header().Set("X-Request-Id", "another")
			succeed(request, writer)
		},
		"no id": func(request receivedRequest, writer http.ResponseWriter) {
			writer.Header().Del("X-Request-Id")
			succeed(request, writer)
		},
		"cut short": func(request receivedRequest, writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "100")
			succeed(request, writer)
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		},
		"cut 422": func(_ receivedRequest, writer http.ResponseWriter) {
			writer.Header().Set("Content-Length", "100")
			writer.WriteHeader(422)
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		},
		"422 of another": func(_ receivedRequest, writer http.ResponseWriter) {
			writer.Header().Set("X-Request-Id", "another")
			writer.WriteHeader(422)
		},
		"silence": func(receivedRequest, http.ResponseWriter) {
			time.Sleep(2 * time.Second)
			panic(http.ErrAbortHandler)
		},
		"gateway timeout": respondStatus(504),
	}
	for name, handle := range garbled {
		t.Run(name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fake := h.addWorker("i-1", "s", "10.0.1.1")
				fake.respondWith(inSequence(handle, succeedAfter(5*time.Millisecond)))
				h.configure()
				h.setWorkers()
				h.submit("m", "r")
				time.Sleep(5 * time.Second)
				assert.Equal(t, h.owner.state("m"), message.Completed)
				assert.Equal(t, len(h.requests()), 2)
				assert.Equal(t, len(h.owner.failuresOf("m")), 0)
			})
		})
	}
}

func TestExpiredMessagesBecomeDeadLetters(t *testing.T) {
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
		h.setWorkers()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("o"), message.Completed)
	})
}

func TestMessagesOfRemovedRoutesBecomeDeadLetters(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.submit("early", "r")
		h.submit("gone", "gone")
		h.submit("key1", "gone", withKey("k"))
		h.submit("key2", "gone", withKey("k"))
		h.submit("newer", "newer", func(m *message.Message) { m.ConfigVersion = version + 2 })
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 0) // no configuration yet
		h.addWorker("i-1", "s", "10.0.1.1")
		h.setWorkers()
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

func TestQueuedMessageFollowsRouteToAnotherService(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-2", "s2", "10.0.1.2")
		h.configure()
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, len(h.requests()), 0)
		h.engine.SetConfiguration(table(t, version+1, []route{{name: "r", service: "s2"}}, []service{{name: "s2"}}))
		synctest.Wait()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
	})
}
