package delivery_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

// trouble plays random faults on a world, and knows what may not happen meanwhile.
type trouble struct {
	*world
	random   *rand.Rand
	version  int
	messages []*message.Message
	drains   []drain
}

// drain is a span in which a worker was listed as draining.
type drain struct {
	worker   string
	from, to time.Duration
}

// onTheWay is how long a message may take that went out just before a drain was known.
const onTheWay = 5 * time.Millisecond

// Whatever workers, lists, configurations and partitions do: each message ends once, in the order of its key, and does
// not run after its success was read.
func TestRandomTrouble(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inWorld(t, func(w *world) {
				play := &trouble{world: w, random: rand.New(rand.NewPCG(seed, 1)), version: version}
				play.begin()
				for range 300 {
					play.step()
					time.Sleep(time.Duration(play.draw(100)) * time.Millisecond)
				}
				play.calm()
				time.Sleep(60 * time.Second)
				play.check()
			})
		})
	}
}

// draw returns a random number below n.
func (w *trouble) draw(n int) int {
	w.owner.mutex.Lock()
	defer w.owner.mutex.Unlock()
	return w.random.IntN(n)
}

// restart has a worker end and its process come back.
func (w *trouble) restart(standIn *worker) {
	standIn.stop()
	time.Sleep(300 * time.Millisecond)
	standIn.run()
}

func (w *trouble) begin() {
	for i := range 3 {
		w.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1)).does(w.badWorker)
	}
	w.reconfigure()
	w.listAll()
}

// badWorker answers well or in any of many bad ways.
func (w *trouble) badWorker(a arrival, answer http.ResponseWriter) {
	kind := w.draw(14)
	time.Sleep(time.Duration(w.draw(80)) * time.Millisecond)
	statuses := []int{500, 503, 504, 429, 409, 400, 404}
	switch {
	case kind < len(statuses):
		answerWith(statuses[kind])(a, answer)
	case kind == len(statuses):
		breakOff(a, answer)
	default:
		succeed(a, answer)
	}
}

func (w *trouble) reconfigure() {
	w.version++
	timeout := time.Duration(300+100*w.version%5) * time.Millisecond
	w.engine.SetConfiguration(table(w.t, w.version, []route{{name: "r", service: "s", timeout: timeout, maxAttempts: 1000},
		{name: "q", service: "s", maxAttempts: 1000}}, []service{{name: "s"}}))
}

func (w *trouble) step() {
	kind, which := w.draw(20), w.draw(3)
	standIn := w.workers[which]
	switch kind {
	case 0:
		w.restart(standIn)
	case 3:
		w.reconfigure()
	case 4:
		w.drain(standIn, !standIn.listed.Draining)
	case 5:
		w.reload(which)
	case 6:
		w.engine.Pause()
	case 7, 8:
		w.engine.Resume()
	case 9:
		w.owner.block(which, true)
	case 10, 11:
		w.owner.block(which, false)
	case 12:
		w.engine.SetDeliverers(1 + which)
	default:
		key := func(*message.Message) {}
		if kind%2 == 0 {
			key = withKey(fmt.Sprint("k", kind))
		}
		partition := len(w.messages) % 3
		if kind%2 == 0 {
			partition = kind % 3
		}
		id := fmt.Sprintf("m%03d", len(w.messages))
		w.messages = append(w.messages, w.submit(id, []string{"r", "q"}[which%2], key, withPartition(partition)))
	}
}

func (w *trouble) drain(standIn *worker, draining bool) {
	id := standIn.listed.ID
	if !draining {
		for i := range w.drains {
			if w.drains[i].worker == id && w.drains[i].to == 0 {
				w.drains[i].to = w.since()
			}
		}
	}
	standIn.listed.Draining = draining
	w.listAll()
	if draining {
		w.drains = append(w.drains, drain{worker: id, from: w.since()})
	}
}

// reload has a partition go and come back, as after two changes of its leader.
func (w *trouble) reload(partition int) {
	w.engine.Release(partition)
	for _, m := range w.messages {
		if m.Partition == partition && w.owner.state(m.ID) == message.Queued {
			w.engine.Submit(m, 0)
		}
	}
}

func (w *trouble) calm() {
	for i, standIn := range w.workers {
		w.owner.block(i, false)
		w.drain(standIn, false)
		standIn.does(succeedAfter(20 * time.Millisecond))
	}
	w.engine.Resume()
}

func (w *trouble) check() {
	last := map[string]time.Duration{}
	for _, a := range w.arrivals() {
		last[a.id] = a.at
	}
	for _, m := range w.messages {
		assert.Equal(w.t, w.owner.state(m.ID), message.Completed, m.ID)
		assert.Assert(w.t, last[m.RequestID] <= w.owner.endOf(m.ID), "%s ran again after its end", m.ID)
	}
	w.checkOrder()
	for _, a := range w.arrivals() {
		for _, d := range w.drains {
			assert.Assert(w.t, a.worker != d.worker || a.at < d.from+onTheWay || a.at >= d.to, "a send to %s at %v", a.worker, a.at)
		}
	}
}

// A worker list that changes all the time does not hold up messages, and none reaches a worker that left.
func TestListsThatChangeAllTheTime(t *testing.T) {
	inWorld(t, func(w *world) {
		for i := range 4 {
			w.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1))
		}
		w.configure()
		left := map[string]time.Duration{}
		for step := range 200 {
			var list []cluster.Worker
			for i, standIn := range w.workers {
				if (step/5+i)%4 < 2 {
					list = append(list, standIn.listed)
					delete(left, standIn.listed.ID)
				} else if left[standIn.listed.ID] == 0 {
					left[standIn.listed.ID] = w.since()
				}
			}
			w.engine.SetWorkers(list)
			w.submit(fmt.Sprint("m", step), "r")
			time.Sleep(10 * time.Millisecond)
			for _, standIn := range w.workers {
				since, gone := left[standIn.listed.ID]
				seen := standIn.seen()
				late := gone && len(seen) > 0 && seen[len(seen)-1].at >= since+onTheWay
				assert.Assert(t, !late, "a send to %s, which has left", standIn.listed.ID)
			}
		}
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.countEnded(), 200)
	})
}
