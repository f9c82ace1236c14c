package delivery_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

func TestServiceThatIsDownAndBack(t *testing.T) {
	for _, static := range []bool{false, true} {
		t.Run(fmt.Sprint("static ", static), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fake := h.addWorker("i-1", "s", "10.0.1.1")
				if static {
					services := []service{{name: "s", static: fake.listed.Address}}
					h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, services))
				} else {
					h.configure()
					h.listAll()
				}
				fake.stop()
				for i := range 50 {
					h.submit(fmt.Sprint("m", i), "r")
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, h.owner.countEnded(), 0)
				assert.Assert(t, h.engine.Stats().Services["s"].Down)
				fake.run()
				back := h.elapsed()
				time.Sleep(200 * time.Millisecond)
				all := h.requests()
				assert.Assert(t, len(all) > 0)
				assert.Assert(t, all[0].at-back < 150*time.Millisecond, "the first came %v after the return", all[0].at-back)
				time.Sleep(5 * time.Second)
				assert.Equal(t, h.owner.countEnded(), 50)
				assert.Equal(t, len(h.requests()), 50)
			})
		})
	}
}

// TestServiceThatRejects checks that a service that rejects everything gets few requests, and is used again soon after
// it has capacity.
func TestServiceThatRejects(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(answerWith(503))
		h.configure()
		h.listAll()
		for i := range 50 {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(5 * time.Second)
		asked := len(h.requests())
		assert.Assert(t, asked < 100 && asked > 20, "%d asked", asked)
		fake.respondWith(succeedAfter(20 * time.Millisecond))
		back := h.elapsed()
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 50)
		assert.Assert(t, h.requests()[asked].at-back < 150*time.Millisecond)
	})
}

// TestOneOfTwoWorkersDoesNotAnswer checks that a worker that does not answer delays nothing beside a good one.
func TestOneOfTwoWorkersDoesNotAnswer(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.addWorker("i-2", "s", "10.0.1.2")
		h.configure()
		h.listAll()
		h.network.Isolate(storeIP, "10.0.1.2")
		for i := range 40 {
			h.submit(fmt.Sprint("m", i), "r")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 40)
		h.network.Heal(storeIP, "10.0.1.2")
	})
}

func TestAllWorkersGone(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		h.listAll()
		h.submit("m", "r")
		time.Sleep(time.Second)
		h.engine.SetWorkers(nil)
		h.submit("n", "r")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(h.requests()), 1)
		h.listAll()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, h.owner.state("n"), message.Completed)
	})
}

// TestDrainingWorker checks that nothing starts at a worker after the list has shown it as draining, and that attempts
// in flight go on.
func TestDrainingWorker(t *testing.T) {
	withHarness(t, func(h *harness) {
		leaving := h.addWorker("i-1", "s", "10.0.1.1")
		leaving.respondWith(succeedAfter(300 * time.Millisecond))
		h.configure()
		h.listAll()
		h.submit("out", "r")
		time.Sleep(100 * time.Millisecond)
		staying := h.addWorker("i-2", "s", "10.0.1.2")
		leaving.listed.Draining = true
		h.listAll()
		for i := range 30 {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 31)
		assert.Equal(t, len(leaving.requests()), 1)
		assert.Equal(t, len(staying.requests()), 30)
	})
}

// TestDrainWhileConnecting checks that a worker gets nothing that drains while a connection to it is made.
func TestDrainWhileConnecting(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		h.network.SetDelay(storeIP, "10.0.1.1", 100*time.Millisecond)
		h.configure()
		h.listAll()
		h.submit("m", "r")
		time.Sleep(150 * time.Millisecond)
		fake.listed.Draining = true
		h.listAll()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(h.requests()), 0)
		assert.Equal(t, h.owner.state("m"), message.Queued)
	})
}

func TestAnotherWorkerAtTheAddress(t *testing.T) {
	withHarness(t, func(h *harness) {
		wrong := h.addWorker("i-1", "s", "10.0.1.1")
		wrong.respondWith(answerWith(421))
		h.addWorker("i-2", "s", "10.0.1.2")
		h.configure()
		h.listAll()
		for i := range 50 {
			h.submit(fmt.Sprint("m", i), "r")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 50)
		assert.Assert(t, len(wrong.requests()) <= 4, "%d sends to the wrong worker", len(wrong.requests()))
		wrong.respondWith(succeedAfter(10 * time.Millisecond))
		h.engine.SetWorkers([]cluster.Worker{wrong.listed})
		h.submit("m", "r")
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
	})
}

// TestRunningElsewhere checks that after a 409, which says that another attempt is still running, the message waits
// for that one's result.
func TestRunningElsewhere(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(abort, answerWith(409), answerWith(409), succeedAfter(time.Millisecond)))
		h.configure()
		h.listAll()
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
		assert.Equal(t, len(h.requests()), 4)
	})
}

// TestThrottledService checks that after an answer 429 a service with a rate limit gets nothing for a while.
func TestThrottledService(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(answerWith(429), answerWith(429), succeedAfter(time.Millisecond)))
		h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, []service{{name: "s", rate: 1000}}))
		h.listAll()
		h.submit("m", "r")
		time.Sleep(time.Second)
		all := h.requests()
		assert.Equal(t, len(all), 3)
		assert.Assert(t, all[1].at-all[0].at >= 250*time.Millisecond && all[2].at-all[1].at >= 250*time.Millisecond)
		assert.Equal(t, h.owner.state("m"), message.Completed)
	})
}

// TestRouteMovesWhileMessagesAreOut checks that messages which are in flight or pending when their route moves to
// another service go on there, and that the old one gets no more.
func TestRouteMovesWhileMessagesAreOut(t *testing.T) {
	withHarness(t, func(h *harness) {
		old := h.addWorker("i-1", "s", "10.0.1.1")
		old.respondWith(func(receivedRequest, http.ResponseWriter) { time.Sleep(time.Hour) })
		h.addWorker("i-2", "s2", "10.0.1.2")
		h.configure()
		h.listAll()
		for i := range 20 {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(400 * time.Millisecond)
		seen := len(old.requests())
		assert.Assert(t, seen > 0)
		services := []service{{name: "s"}, {name: "s2"}}
		h.engine.SetConfiguration(table(t, version+1, []route{{name: "r", service: "s2"}}, services))
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 20)
		assert.Equal(t, len(old.requests()), seen)
		old.stop()
		time.Sleep(2 * time.Hour) // its handlers end
	})
}

// TestSlowRunAtASingleEndpoint checks that a slow request does not keep a single endpoint from its other messages.
func TestSlowRunAtASingleEndpoint(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("static", "s", "10.0.1.1")
		fake.respondWith(func(a receivedRequest, answer http.ResponseWriter) {
			if a.id == "request-slow" {
				time.Sleep(1800 * time.Millisecond)
			}
			succeed(a, answer)
		})
		routes := []route{{name: "r", service: "s", timeout: 2 * time.Second}}
		h.engine.SetConfiguration(table(t, version, routes, []service{{name: "s", static: fake.listed.Address}}))
		for i := range 100 { // the usual answer is a quick one
			h.submit(fmt.Sprint("m", i), "r")
			time.Sleep(10 * time.Millisecond)
		}
		h.submit("slow", "r")
		time.Sleep(time.Second)
		h.submit("quick", "r")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, h.owner.state("quick"), message.Completed)
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("slow"), message.Completed)
		assert.Equal(t, h.requestsOf("quick")[0].header.Get("X-Expect-Instance"), "")
	})
}

// TestQueueWithoutWorkersSleeps checks that messages for which there is no worker cost nothing while they wait.
func TestQueueWithoutWorkersSleeps(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		for i := range 100 {
			h.submit(fmt.Sprint("m", i), "r", expiringAfter(2*time.Hour))
		}
		time.Sleep(time.Second)
		asked := h.owner.countMayDeliver()
		time.Sleep(time.Hour)
		assert.Equal(t, h.owner.countMayDeliver(), asked)
		h.listAll()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 100)
	})
}
