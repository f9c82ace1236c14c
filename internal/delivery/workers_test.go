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
			inWorld(t, func(w *world) {
				standIn := w.addWorker("i-1", "s", "10.0.1.1")
				if static {
					services := []service{{name: "s", static: standIn.listed.Address}}
					w.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, services))
				} else {
					w.configure()
					w.listAll()
				}
				standIn.stop()
				for i := range 50 {
					w.submit(fmt.Sprint("m", i), "r")
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, w.owner.countEnded(), 0)
				assert.Assert(t, w.engine.Stats().Services["s"].Down)
				standIn.run()
				back := w.since()
				time.Sleep(200 * time.Millisecond)
				all := w.arrivals()
				assert.Assert(t, len(all) > 0)
				assert.Assert(t, all[0].at-back < 150*time.Millisecond, "the first came %v after the return", all[0].at-back)
				time.Sleep(5 * time.Second)
				assert.Equal(t, w.owner.countEnded(), 50)
				assert.Equal(t, len(w.arrivals()), 50)
			})
		})
	}
}

// A service that turns everything away is asked little, and is used again soon after it has room.
func TestServiceThatTurnsAway(t *testing.T) {
	inWorld(t, func(w *world) {
		standIn := w.addWorker("i-1", "s", "10.0.1.1")
		standIn.does(answerWith(503))
		w.configure()
		w.listAll()
		for i := range 50 {
			w.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(5 * time.Second)
		asked := len(w.arrivals())
		assert.Assert(t, asked < 100 && asked > 20, "%d asked", asked)
		standIn.does(succeedAfter(20 * time.Millisecond))
		back := w.since()
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.owner.countEnded(), 50)
		assert.Assert(t, w.arrivals()[asked].at-back < 150*time.Millisecond)
	})
}

// A silent worker beside a good one holds nothing up.
func TestOneOfTwoWorkersIsSilent(t *testing.T) {
	inWorld(t, func(w *world) {
		w.addWorker("i-1", "s", "10.0.1.1")
		w.addWorker("i-2", "s", "10.0.1.2")
		w.configure()
		w.listAll()
		w.network.Isolate(storeIP, "10.0.1.2")
		for i := range 40 {
			w.submit(fmt.Sprint("m", i), "r")
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, w.owner.countEnded(), 40)
		w.network.Heal(storeIP, "10.0.1.2")
	})
}

func TestAllWorkersGone(t *testing.T) {
	inWorld(t, func(w *world) {
		w.addWorker("i-1", "s", "10.0.1.1")
		w.configure()
		w.listAll()
		w.submit("m", "r")
		time.Sleep(time.Second)
		w.engine.SetWorkers(nil)
		w.submit("n", "r")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(w.arrivals()), 1)
		w.listAll()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, w.owner.state("n"), message.Completed)
	})
}

// Nothing starts at a worker after the list has shown it as draining; what is out goes on.
func TestDrainingWorker(t *testing.T) {
	inWorld(t, func(w *world) {
		leaving := w.addWorker("i-1", "s", "10.0.1.1")
		leaving.does(succeedAfter(300 * time.Millisecond))
		w.configure()
		w.listAll()
		w.submit("out", "r")
		time.Sleep(100 * time.Millisecond)
		staying := w.addWorker("i-2", "s", "10.0.1.2")
		leaving.listed.Draining = true
		w.listAll()
		for i := range 30 {
			w.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.owner.countEnded(), 31)
		assert.Equal(t, len(leaving.seen()), 1)
		assert.Equal(t, len(staying.seen()), 30)
	})
}

// A worker that drains while a connection to it comes up gets nothing.
func TestDrainWhileConnecting(t *testing.T) {
	inWorld(t, func(w *world) {
		standIn := w.addWorker("i-1", "s", "10.0.1.1")
		w.network.SetDelay(storeIP, "10.0.1.1", 100*time.Millisecond)
		w.configure()
		w.listAll()
		w.submit("m", "r")
		time.Sleep(150 * time.Millisecond)
		standIn.listed.Draining = true
		w.listAll()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(w.arrivals()), 0)
		assert.Equal(t, w.owner.state("m"), message.Queued)
	})
}

func TestAnotherWorkerAtTheAddress(t *testing.T) {
	inWorld(t, func(w *world) {
		wrong := w.addWorker("i-1", "s", "10.0.1.1")
		wrong.does(answerWith(421))
		w.addWorker("i-2", "s", "10.0.1.2")
		w.configure()
		w.listAll()
		for i := range 50 {
			w.submit(fmt.Sprint("m", i), "r")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.countEnded(), 50)
		assert.Assert(t, len(wrong.seen()) <= 4, "%d sends to the wrong worker", len(wrong.seen()))
		wrong.does(succeedAfter(10 * time.Millisecond))
		w.engine.SetWorkers([]cluster.Worker{wrong.listed})
		w.submit("m", "r")
		time.Sleep(3 * time.Second)
		assert.Equal(t, w.owner.state("m"), message.Completed)
	})
}

// A 409 says that another run is at work: the message waits for that one's result.
func TestRunningElsewhere(t *testing.T) {
	inWorld(t, func(w *world) {
		standIn := w.addWorker("i-1", "s", "10.0.1.1")
		standIn.does(inTurn(breakOff, answerWith(409), answerWith(409), succeedAfter(time.Millisecond)))
		w.configure()
		w.listAll()
		w.submit("m", "r")
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.state("m"), message.Completed)
		assert.Equal(t, len(w.arrivals()), 4)
	})
}

// After an answer 429 a service with a ceiling is left alone for a while.
func TestThrottledService(t *testing.T) {
	inWorld(t, func(w *world) {
		standIn := w.addWorker("i-1", "s", "10.0.1.1")
		standIn.does(inTurn(answerWith(429), answerWith(429), succeedAfter(time.Millisecond)))
		w.engine.SetConfiguration(table(t, version, []route{{name: "r", service: "s"}}, []service{{name: "s", rate: 1000}}))
		w.listAll()
		w.submit("m", "r")
		time.Sleep(time.Second)
		all := w.arrivals()
		assert.Equal(t, len(all), 3)
		assert.Assert(t, all[1].at-all[0].at >= 250*time.Millisecond && all[2].at-all[1].at >= 250*time.Millisecond)
		assert.Equal(t, w.owner.state("m"), message.Completed)
	})
}

// Messages that are out or held when their route moves to another service go on there, and no more to the old one.
func TestRouteMovesWhileMessagesAreOut(t *testing.T) {
	inWorld(t, func(w *world) {
		old := w.addWorker("i-1", "s", "10.0.1.1")
		old.does(func(arrival, http.ResponseWriter) { time.Sleep(time.Hour) })
		w.addWorker("i-2", "s2", "10.0.1.2")
		w.configure()
		w.listAll()
		for i := range 20 {
			w.submit(fmt.Sprint("m", i), "r")
		}
		time.Sleep(400 * time.Millisecond)
		seen := len(old.seen())
		assert.Assert(t, seen > 0)
		services := []service{{name: "s"}, {name: "s2"}}
		w.engine.SetConfiguration(table(t, version+1, []route{{name: "r", service: "s2"}}, services))
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.owner.countEnded(), 20)
		assert.Equal(t, len(old.seen()), seen)
		old.stop()
		time.Sleep(2 * time.Hour) // its handlers end
	})
}

// A slow run does not keep a single endpoint from its other messages.
func TestSlowRunAtASingleEndpoint(t *testing.T) {
	inWorld(t, func(w *world) {
		standIn := w.addWorker("static", "s", "10.0.1.1")
		standIn.does(func(a arrival, answer http.ResponseWriter) {
			if a.id == "request-slow" {
				time.Sleep(1800 * time.Millisecond)
			}
			succeed(a, answer)
		})
		routes := []route{{name: "r", service: "s", timeout: 2 * time.Second}}
		w.engine.SetConfiguration(table(t, version, routes, []service{{name: "s", static: standIn.listed.Address}}))
		for i := range 100 { // the usual answer is a quick one
			w.submit(fmt.Sprint("m", i), "r")
			time.Sleep(10 * time.Millisecond)
		}
		w.submit("slow", "r")
		time.Sleep(time.Second)
		w.submit("quick", "r")
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, w.owner.state("quick"), message.Completed)
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.state("slow"), message.Completed)
		assert.Equal(t, w.arrivalsOf("quick")[0].header.Get("X-Expect-Instance"), "")
	})
}

// Messages that no worker can be had for cost nothing while they wait.
func TestQueueWithoutWorkersSleeps(t *testing.T) {
	inWorld(t, func(w *world) {
		w.addWorker("i-1", "s", "10.0.1.1")
		w.configure()
		for i := range 100 {
			w.submit(fmt.Sprint("m", i), "r", expiringAfter(2*time.Hour))
		}
		time.Sleep(time.Second)
		asked := w.owner.timesAsked()
		time.Sleep(time.Hour)
		assert.Equal(t, w.owner.timesAsked(), asked)
		w.listAll()
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.countEnded(), 100)
	})
}
