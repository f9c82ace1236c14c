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

func TestServiceRecoversAfterOutage(t *testing.T) {
	for _, static := range []bool{false, true} {
		t.Run(fmt.Sprint("static ", static), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fake := h.addWorker("i-1", "s", "10.0.1.1")
				if static {
					services := []service{{name: "s", static: fake.listed.Address}}
					h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, services))
				} else {
					h.configure()
					h.setWorkers()
				}
				fake.stop()
				for i := range 50 {
					h.submit(fmt.Sprint("m", i), "r")
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, h.owner.countEnded(), 0)
				assert.Assert(t, h.engine.Stats().Services["s"].Down)
				fake.run()
				recoveredAt := h.elapsed()
				time.Sleep(200 * time.Millisecond)
				all := h.requests()
				assert.Assert(t, len(all) > 0)
				assert.Assert(t, all[0].at-recoveredAt < 150*time.Millisecond,
					"the first request arrived %v after the worker was back", all[0].at-recoveredAt)
				time.Sleep(5 * time.Second)
				assert.Equal(t, h.owner.countEnded(), 50)
				assert.Equal(t, len(h.requests()), 50)
			})
		})
	}
}

// TestRejectingServiceIsNotFlooded checks that a service that rejects every request receives few requests, and is used
// again soon after it has capacity.
func TestRejectingServiceIsNotFlooded(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(respondStatus(503))
		h.configure()
		h.setWorkers()
		for i := range 50 {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(5 * time.Second)
		requestsBefore := len(h.requests())
		assert.Assert(t, requestsBefore < 100 && requestsBefore > 20, "%d requests reached the rejecting worker", requestsBefore)
		fake.respondWith(succeedAfter(20 * time.Millisecond))
		recoveredAt := h.elapsed()
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 50)
		assert.Assert(t, h.requests()[requestsBefore].at-recoveredAt < 150*time.Millisecond)
	})
}

// TestUnresponsiveWorkerDoesNotDelayMessages checks that a worker that does not respond delays no message while another
// worker responds.
func TestUnresponsiveWorkerDoesNotDelayMessages(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.addWorker("i-2", "s", "10.0.1.2")
		h.configure()
		h.setWorkers()
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

func TestMessageWaitsWhileNoWorkerIsListed(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(time.Second)
		h.engine.SetWorkers(nil)
		h.submit("n", "r")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(h.requests()), 1)
		h.setWorkers()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, h.owner.state("n"), message.Completed)
	})
}

// TestDrainingWorkerGetsNoNewAttempts checks that no attempt starts at a worker after the list has shown it as
// draining, and that attempts in flight run to their end.
func TestDrainingWorkerGetsNoNewAttempts(t *testing.T) {
	withHarness(t, func(h *harness) {
		leaving := h.addWorker("i-1", "s", "10.0.1.1")
		leaving.respondWith(succeedAfter(300 * time.Millisecond))
		h.configure()
		h.setWorkers()
		h.submit("out", "r")
		time.Sleep(100 * time.Millisecond)
		staying := h.addWorker("i-2", "s", "10.0.1.2")
		leaving.listed.Draining = true
		h.setWorkers()
		for i := range 30 {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 31)
		assert.Equal(t, len(leaving.requests()), 1)
		assert.Equal(t, len(staying.requests()), 30)
	})
}

// TestWorkerThatDrainsDuringConnectGetsNothing checks that a worker that starts to drain while the engine connects to
// it receives no request.
func TestWorkerThatDrainsDuringConnectGetsNothing(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		h.network.SetDelay(storeIP, "10.0.1.1", 100*time.Millisecond)
		h.configure()
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(150 * time.Millisecond)
		fake.listed.Draining = true
		h.setWorkers()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(h.requests()), 0)
		assert.Equal(t, h.owner.state("m"), message.Queued)
	})
}

func TestMisdirectedEndpointIsAvoided(t *testing.T) {
	withHarness(t, func(h *harness) {
		wrong := h.addWorker("i-1", "s", "10.0.1.1")
		wrong.respondWith(respondStatus(421))
		h.addWorker("i-2", "s", "10.0.1.2")
		h.configure()
		h.setWorkers()
		for i := range 50 {
			h.submit(fmt.Sprint("m", i), "r")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 50)
		assert.Assert(t, len(wrong.requests()) <= 4, "%d requests to the misdirected endpoint", len(wrong.requests()))
		wrong.respondWith(succeedAfter(10 * time.Millisecond))
		h.engine.SetWorkers([]cluster.Worker{wrong.listed})
		h.submit("m", "r")
		time.Sleep(3 * time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
	})
}

// TestMisdirectedStaticEndpointIsUsedAgain guards against a static endpoint that gets no messages for good after it has
// answered one with status 421.
func TestMisdirectedStaticEndpointIsUsedAgain(t *testing.T) {
	withHarness(t, func(h *harness) {
		fixed := h.addWorker("i-1", "s", "10.0.1.1")
		fixed.respondWith(inSequence(respondStatus(421), succeedAfter(time.Millisecond)))
		h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}},
			[]service{{name: "s", static: fixed.listed.Address}}))
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, len(fixed.requests()), 1)
		time.Sleep(2 * time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
		assert.Equal(t, len(fixed.requests()), 2)
	})
}

// TestConflictWaitsForRunningAttempt checks that after a response with status 409, which says that another attempt is
// still running, the message waits for the result of that attempt.
func TestConflictWaitsForRunningAttempt(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(abort, respondStatus(409), respondStatus(409), succeedAfter(time.Millisecond)))
		h.configure()
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.state("m"), message.Completed)
		assert.Equal(t, len(h.requests()), 4)
	})
}

// TestThrottledServiceIsPaused checks that a service with a rate limit receives no requests for a while after a
// response with status 429.
func TestThrottledServiceIsPaused(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(respondStatus(429), respondStatus(429), succeedAfter(time.Millisecond)))
		h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, []service{{name: "s", rate: 1000}}))
		h.setWorkers()
		h.submit("m", "r")
		time.Sleep(time.Second)
		all := h.requests()
		assert.Equal(t, len(all), 3)
		assert.Assert(t, all[1].at-all[0].at >= 250*time.Millisecond && all[2].at-all[1].at >= 250*time.Millisecond)
		assert.Equal(t, h.owner.state("m"), message.Completed)
	})
}

// TestDispatchedMessagesFollowRouteToAnotherService checks that messages that are in flight or pending when their route
// moves to another service are delivered to that service, and that the old service receives no more requests.
func TestDispatchedMessagesFollowRouteToAnotherService(t *testing.T) {
	withHarness(t, func(h *harness) {
		old := h.addWorker("i-1", "s", "10.0.1.1")
		old.respondWith(func(receivedRequest, http.ResponseWriter) { time.Sleep(time.Hour) })
		h.addWorker("i-2", "s2", "10.0.1.2")
		h.configure()
		h.setWorkers()
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
		time.Sleep(2 * time.Hour) // until its handlers have returned
	})
}

// TestSlowRequestDoesNotBlockStaticEndpoint checks that a slow request does not delay the other messages of a static
// endpoint.
func TestSlowRequestDoesNotBlockStaticEndpoint(t *testing.T) {
	withHarness(t, func(h *harness) {
		fake := h.addWorker("static", "s", "10.0.1.1")
		fake.respondWith(func(request receivedRequest, writer http.ResponseWriter) {
			if request.id == "request-slow" {
				time.Sleep(1800 * time.Millisecond)
			}
			succeed(request, writer)
		})
		routes := []route{{name: "r", service: "s", timeout: 2 * time.Second}}
		h.engine.SetConfiguration(table(t, version, routes, []service{{name: "s", static: fake.listed.Address}}))
		for i := range 100 { // most requests are quick
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

// TestQueueWithoutWorkersDoesNotPoll checks that messages for which there is no worker cost nothing while they wait.
func TestQueueWithoutWorkersDoesNotPoll(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1")
		h.configure()
		for i := range 100 {
			h.submit(fmt.Sprint("m", i), "r", expiringAfter(2*time.Hour))
		}
		time.Sleep(time.Second)
		callsBefore := h.owner.countMayDeliver()
		time.Sleep(time.Hour)
		assert.Equal(t, h.owner.countMayDeliver(), callsBefore)
		h.setWorkers()
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 100)
	})
}
