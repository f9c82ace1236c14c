package delivery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateLimitOverEveryWindow checks that the requests of a service with a rate limit stay under this store's part of
// it in every window.
func TestRateLimitOverEveryWindow(t *testing.T) {
	const rate, deliverers, window = 30.0, 2, 5 * time.Second
	withHarness(t, func(h *harness) {
		fake := h.addWorker("i-1", "s", "10.0.1.1")
		fake.respondWith(inSequence(answerWith(500), answerWith(503), abort, succeedAfter(10*time.Millisecond)))
		h.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, []service{{name: "s", rate: rate}}))
		h.engine.SetRateDivisor(deliverers)
		h.listAll()
		for i := range 600 { // more than may be sent
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(40 * time.Second)
		all := h.requests()
		part := rate / deliverers
		assert.Assert(t, len(all) > int(0.8*40*part), "%d sends are too few", len(all))
		for i, first := range all {
			count := 0
			for _, a := range all[i:] {
				if a.at < first.at+window {
					count++
				}
			}
			assert.Assert(t, float64(count) <= part*window.Seconds()+1, "%d sends in the window from %v", count, first.at)
		}
	})
}

// TestLimitsOfAWorker checks that no more connections are used than this store's part of them, and that no more
// messages are in flight than the worker's slots permit.
func TestLimitsOfAWorker(t *testing.T) {
	for _, limit := range []struct {
		name                  string
		connections, capacity int
		most                  int
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
				h.listAll()
				for i := range 100 {
					h.submit(fmt.Sprint("m", i), "r")
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, h.owner.countEnded(), 100)
				assert.Equal(t, fake.mostAtOnce(), limit.most)
			})
		})
	}
}

// TestAllWorkersShareTheLoad checks that all workers are used at high load, whatever pools the decision module makes
// of them.
func TestAllWorkersShareTheLoad(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 6 {
			h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1)).respondWith(succeedAfter(100 * time.Millisecond))
		}
		h.configure()
		h.listAll()
		const messages = 1000 // at 4 a worker: 240 a second are possible
		for i := range messages {
			h.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, h.owner.countEnded(), messages)
		for _, fake := range h.workers {
			assert.Assert(t, len(fake.requests()) > messages/12, "%s got %d", fake.listed.ID, len(fake.requests()))
		}
	})
}

// TestNoRouteStarves checks that the messages of each route start at once, whatever pool its name falls into, and
// however few workers there are.
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
			h.listAll()
			for i := range 60 {
				id := fmt.Sprint("m", i)
				sent := h.elapsed()
				h.submit(id, routes[i%len(routes)].name)
				time.Sleep(30 * time.Millisecond)
				came := h.requestsOf(id)
				assert.Equal(t, len(came), 1)
				assert.Assert(t, came[0].at < sent+10*time.Millisecond)
			}
		})
	}
}

// TestOverload checks that, under a load that exceeds the capacity, part of the messages starts in time all the same,
// and none waits for ever.
func TestOverload(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.addWorker("i-1", "s", "10.0.1.1").respondWith(succeedAfter(100 * time.Millisecond)) // 60 a second with 6 at once
		h.configure()
		h.listAll()
		sent := map[string]time.Duration{}
		for i := range 1000 { // 100 a second
			id := fmt.Sprint("m", i)
			sent["request-"+id] = h.elapsed()
			h.submit(id, "r")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, h.owner.countEnded(), 1000)
		inTime := 0
		for _, a := range h.requests() { // one for each message, as nothing fails
			if a.at < sent[a.id]+600*time.Millisecond {
				inTime++
			}
		}
		assert.Assert(t, inTime > 350, "%d of 1000 came in time", inTime)
	})
}
