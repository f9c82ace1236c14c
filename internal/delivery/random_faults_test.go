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

// randomFaults injects random faults into a harness, and checks the invariants that hold despite them.
type randomFaults struct {
	*harness
	random   *rand.Rand
	version  int
	messages []*message.Message
	drains   []drainPeriod
}

// drainPeriod is a time in which a worker was listed as draining.
type drainPeriod struct {
	worker   string
	from, to time.Duration
}

// maxTransit is the longest time in which a request arrives that was sent just before the engine learned of a drain.
const maxTransit = 5 * time.Millisecond

// TestRandomFaults checks that under random faults of workers, lists, configurations and partitions each message ends
// once, messages of an order key end in order, and no message runs again after its success was read.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				faults := &randomFaults{harness: h, random: rand.New(rand.NewPCG(seed, 1)), version: version}
				faults.start()
				for range 300 {
					faults.step()
					time.Sleep(time.Duration(faults.draw(100)) * time.Millisecond)
				}
				faults.heal()
				time.Sleep(60 * time.Second)
				faults.check()
			})
		})
	}
}

// draw returns a random number below n.
func (h *randomFaults) draw(n int) int {
	h.owner.mutex.Lock()
	defer h.owner.mutex.Unlock()
	return h.random.IntN(n)
}

// restart stops a worker's process and starts it again.
func (h *randomFaults) restart(fake *fakeWorker) {
	fake.stop()
	time.Sleep(300 * time.Millisecond)
	fake.run()
}

func (h *randomFaults) start() {
	for i := range 3 {
		h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1)).respondWith(h.faultyWorker)
	}
	h.reconfigure()
	h.setWorkers()
}

// faultyWorker responds with a success or with one of many faults.
func (h *randomFaults) faultyWorker(request receivedRequest, writer http.ResponseWriter) {
	kind := h.draw(14)
	time.Sleep(time.Duration(h.draw(80)) * time.Millisecond)
	statuses := []int{500, 503, 504, 429, 409, 400, 404}
	switch {
	case kind < len(statuses):
		respondStatus(statuses[kind])(request, writer)
	case kind == len(statuses):
		abort(request, writer)
	default:
		succeed(request, writer)
	}
}

func (h *randomFaults) reconfigure() {
	h.version++
	timeout := time.Duration(300+100*h.version%5) * time.Millisecond
	h.engine.SetConfiguration(table(h.t, h.version, []route{{name: "r", service: "s", timeout: timeout, maxAttempts: 1000},
		{name: "q", service: "s", maxAttempts: 1000}}, []service{{name: "s"}}))
}

func (h *randomFaults) step() {
	kind, index := h.draw(20), h.draw(3)
	fake := h.workers[index]
	switch kind {
	case 0:
		h.restart(fake)
	case 3:
		h.reconfigure()
	case 4:
		h.drain(fake, !fake.listed.Draining)
	case 5:
		h.releaseAndResubmit(index)
	case 6:
		h.engine.Pause()
	case 7, 8:
		h.engine.Resume()
	case 9:
		h.owner.block(index, true)
	case 10, 11:
		h.owner.block(index, false)
	case 12:
		h.engine.SetRateDivisor(1 + index)
	default:
		key := func(*message.Message) {}
		if kind%2 == 0 {
			key = withKey(fmt.Sprint("k", kind))
		}
		partition := len(h.messages) % 3
		if kind%2 == 0 {
			partition = kind % 3
		}
		id := fmt.Sprintf("m%03d", len(h.messages))
		h.messages = append(h.messages, h.submit(id, []string{"r", "q"}[index%2], key, withPartition(partition)))
	}
}

func (h *randomFaults) drain(fake *fakeWorker, draining bool) {
	id := fake.listed.ID
	if !draining {
		for i := range h.drains {
			if h.drains[i].worker == id && h.drains[i].to == 0 {
				h.drains[i].to = h.elapsed()
			}
		}
	}
	fake.listed.Draining = draining
	h.setWorkers()
	if draining {
		h.drains = append(h.drains, drainPeriod{worker: id, from: h.elapsed()})
	}
}

// releaseAndResubmit releases a partition and submits its messages again, as after two changes of its leader.
func (h *randomFaults) releaseAndResubmit(partition int) {
	h.engine.Release(partition)
	for _, m := range h.messages {
		if m.Partition == partition && h.owner.state(m.ID) == message.Queued {
			h.engine.Submit(m, 0)
		}
	}
}

func (h *randomFaults) heal() {
	for i, fake := range h.workers {
		h.owner.block(i, false)
		h.drain(fake, false)
		fake.respondWith(succeedAfter(20 * time.Millisecond))
	}
	h.engine.Resume()
}

func (h *randomFaults) check() {
	last := map[string]time.Duration{}
	for _, request := range h.requests() {
		last[request.id] = request.at
	}
	for _, m := range h.messages {
		assert.Equal(h.t, h.owner.state(m.ID), message.Completed, m.ID)
		assert.Assert(h.t, last[m.RequestID] <= h.owner.endOf(m.ID), "%s ran again after its end", m.ID)
	}
	h.checkOrder()
	for _, request := range h.requests() {
		for _, d := range h.drains {
			assert.Assert(h.t, request.worker != d.worker || request.at < d.from+maxTransit || request.at >= d.to,
				"%s, which was draining, received a request at %v", request.worker, request.at)
		}
	}
}

// TestWorkerListChurnDoesNotDelayMessages checks that lists of workers that change all the time do not delay messages,
// and that no message reaches a worker that has left.
func TestWorkerListChurnDoesNotDelayMessages(t *testing.T) {
	withHarness(t, func(h *harness) {
		for i := range 4 {
			h.addWorker(fmt.Sprint("i-", i), "s", fmt.Sprint("10.0.1.", i+1))
		}
		h.configure()
		leftAt := map[string]time.Duration{}
		for step := range 200 {
			var list []cluster.Worker
			for i, fake := range h.workers {
				if (step/5+i)%4 < 2 {
					list = append(list, fake.listed)
					delete(leftAt, fake.listed.ID)
				} else if leftAt[fake.listed.ID] == 0 {
					leftAt[fake.listed.ID] = h.elapsed()
				}
			}
			h.engine.SetWorkers(list)
			h.submit(fmt.Sprint("m", step), "r")
			time.Sleep(10 * time.Millisecond)
			for _, fake := range h.workers {
				since, gone := leftAt[fake.listed.ID]
				seen := fake.requests()
				late := gone && len(seen) > 0 && seen[len(seen)-1].at >= since+maxTransit
				assert.Assert(t, !late, "%s, which has left, received a request", fake.listed.ID)
			}
		}
		time.Sleep(time.Second)
		assert.Equal(t, h.owner.countEnded(), 200)
	})
}
