package delivery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The sends of a service with a ceiling stay under this store's part of it in every window.
func TestCeilingOverEveryWindow(t *testing.T) {
	const rate, deliverers, window = 30.0, 2, 5 * time.Second
	inWorld(t, func(w *world) {
		standIn := w.addWorker("i-1", "s", "10.0.1.1")
		standIn.does(inTurn(answerWith(500), answerWith(503), breakOff, succeedAfter(10*time.Millisecond)))
		w.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, []service{{name: "s", rate: rate}}))
		w.engine.SetDeliverers(deliverers)
		w.listAll()
		for i := range 600 { // more than may be sent
			w.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(40 * time.Second)
		all := w.arrivals()
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

// No more connections than this store's part of them, and no more messages at once than the worker's slots bear.
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
			inWorld(t, func(w *world) {
				standIn := w.addWorker("i-1", "s", "10.0.1.1")
				standIn.listed.Capacity = limit.capacity
				services := []service{{name: "s", maxConnections: limit.connections}}
				w.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, services))
				w.listAll()
				for i := range 100 {
					w.submit(fmt.Sprint("m", i), "r")
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, w.owner.countEnded(), 100)
				assert.Equal(t, standIn.mostAtOnce(), limit.most)
			})
		})
	}
}

// All workers are used at high load, whatever pools the decision module makes of them.
func TestAllWorkersShareTheLoad(t *testing.T) {
	inWorld(t, func(w *world) {
		for i := range 6 {
			w.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1)).does(succeedAfter(100 * time.Millisecond))
		}
		w.configure()
		w.listAll()
		const messages = 1000 // at 4 a worker: 240 a second are possible
		for i := range messages {
			w.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.owner.countEnded(), messages)
		for _, standIn := range w.workers {
			assert.Assert(t, len(standIn.seen()) > messages/12, "%s got %d", standIn.listed.ID, len(standIn.seen()))
		}
	})
}

// Whatever pool a route's name falls into, and however few workers there are: its messages start at once.
func TestNoRouteStarves(t *testing.T) {
	for count := 1; count <= 3; count++ {
		inWorld(t, func(w *world) {
			for i := range count {
				w.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1))
			}
			var routes []route
			for i := range 12 {
				routes = append(routes, route{name: fmt.Sprint("r", i), service: "s"})
			}
			w.engine.SetConfiguration(table(t, version, routes, []service{{name: "s"}}))
			w.listAll()
			for i := range 60 {
				id := fmt.Sprint("m", i)
				sent := w.since()
				w.submit(id, routes[i%len(routes)].name)
				time.Sleep(30 * time.Millisecond)
				came := w.arrivalsOf(id)
				assert.Equal(t, len(came), 1)
				assert.Assert(t, came[0].at < sent+10*time.Millisecond)
			}
		})
	}
}

// Under a load that can't be borne, part of the messages starts in time all the same, and none waits for ever.
func TestOverload(t *testing.T) {
	inWorld(t, func(w *world) {
		w.addWorker("i-1", "s", "10.0.1.1").does(succeedAfter(100 * time.Millisecond)) // 60 a second with 6 at once
		w.configure()
		w.listAll()
		sent := map[string]time.Duration{}
		for i := range 1000 { // 100 a second
			id := fmt.Sprint("m", i)
			sent["request-"+id] = w.since()
			w.submit(id, "r")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, w.owner.countEnded(), 1000)
		inTime := 0
		for _, a := range w.arrivals() { // one for each message, as nothing fails
			if a.at < sent[a.id]+600*time.Millisecond {
				inTime++
			}
		}
		assert.Assert(t, inTime > 350, "%d of 1000 came in time", inTime)
	})
}
