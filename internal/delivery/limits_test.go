package delivery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateLimitHoldsInEveryWindow checks that the requests of a service with a rate limit stay below this store's part
// of it in every window.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	const rate, deliverers, window = 30.0, 2, 5 * time.Second
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(respondStatus(500), respondStatus(503), abort, succeedAfter(10*time.Millisecond)))
		h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, []service{{name: "s", rate: rate}}))
		h.engine.SetRateDivisor(deliverers)
		h.setWorkers()
		for i := range 600 { // more than the rate limit permits in this time
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(40 * time.Second)
		all := h.requests()
		part := rate / deliverers
		assert.Assert(t, len(all) > int(0.8*40*part), "%d sends are too few", len(all))
		for i, first := range all {
			count := 0
			for _, request := range all[i:] {
				if request.at < first.at+window {
					count++
				}
			}
			assert.Assert(t, float64(count) <= part*window.Seconds()+1, "%d sends in the window from %v", count, first.at)
		}
	})
}

// TestWorkerLimitsAreNotExceeded checks that the engine uses no more connections than this store's part of them, and
// has no more messages in flight than the worker's slots permit.
func TestWorkerLimitsAreNotExceeded(t *testing.T) {
	for _, limit := range []struct {
		name                  string
		connections, capacity int
		wantInFlight          int
	}{
		{"connections", 5, 40, 4},
		{"slots", 100, 4, 6},
	} {
		t.Run(limit.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				fake := h.addWorker("i-1", "s", "10.0.1.1")
				fake.listed.Capacity = limit.capacity
				services := []service{{name: "s", maxConnections: limit.connections}}
				h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, services))
				h.setWorkers()
				for i := range 100 {
					h.submit(fmt.Sprint("m", i), "r")
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, h.owner.countEnded(), 100)
				assert.Equal(t, fake.peakInFlight(), limit.wantInFlight)
			})
		})
	}
}

// TestHighLoadReachesAllWorkers checks that all workers are used at high load, whichever pools the decision module
// makes of them.
func TestHighLoadReachesAllWorkers(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 6 {
			h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1)).respondWith(succeedAfter(100 * time.Millisecond))
		}
		h.configure()
		h.setWorkers()
		const messages = 1000 // 4 slots per worker permit 240 messages per second
		for i := range messages {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.owner.countEnded(), messages)
		for _, fake := range h.workers {
			assert.Assert(t, len(fake.requests()) > messages/12, "%s received only %d requests", fake.listed.ID, len(fake.requests()))
		}
	})
}

// TestNoRouteStarves checks that the messages of each route start at once, whichever pool the name of the route hashes
// to, and however few workers there are.
func TestNoRouteStarves(t *testing.T) {
	for count := 1; count <= 3; count++ {
		withHarness(t, func(h *harness) {
			for i := range count {
				h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1))
			}
			var routes []route
			for i := range 12 {
				routes = append(routes, route{name: fmt.Sprint("r", i), service: "s"})
			}
			h.engine.SetConfiguration(table(t, version, routes, []service{{name: "s"}}))
			h.setWorkers()
			for i := range 60 {
				id := fmt.Sprint("m", i)
				sent := h.elapsed()
				h.submit(id, routes[i%len(routes)].name)
				time.Sleep(30 * time.Millisecond)
				requests := h.requestsOf(id)
				assert.Equal(t, len(requests), 1)
				assert.Assert(t, requests[0].at < sent+10*time.Millisecond)
			}
		})
	}
}

// TestOverloadDoesNotDelayAllMessages checks that under a load above the capacity, a part of the messages still starts
// in time, and that no message waits forever.
func TestOverloadDoesNotDelayAllMessages(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1").respondWith(succeedAfter(100 * time.Millisecond)) // 6 in flight: 60 per second
		h.configure()
		h.setWorkers()
		sent := map[string]time.Duration{}
		for i := range 1000 { // 100 per second
			id := fmt.Sprint("m", i)
			sent["request-"+id] = h.elapsed()
			h.submit(id, "r")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 1000)
		inTime := 0
		for _, request := range h.requests() { // one for each message, because none fails
			if request.at < sent[request.id]+600*time.Millisecond {
				inTime++
			}
		}
		assert.Assert(t, inTime > 350, "%d of 1000 messages started in time", inTime)
	})
}
