package delivery_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestPausedPartitions(t *testing.T) {
	inWorld(t, func(w *world) {
		w.addWorker("i-1", "s", "10.0.1.1").does(succeedAfter(100 * time.Millisecond))
		w.configure()
		w.listAll()
		w.engine.PausePartition(1)
		w.owner.block(2, true)
		for partition := range 3 {
			w.submit(fmt.Sprint("m", partition), "r", withPartition(partition))
		}
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, w.engine.InFlight(), 1)
		assert.Equal(t, w.engine.InFlightOf(0), 1)
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.countEnded(), 1)
		w.engine.ResumePartition(1)
		w.owner.block(2, false)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, w.owner.countEnded(), 3)

		w.engine.Pause()
		w.submit("later", "r")
		time.Sleep(time.Second)
		assert.Equal(t, len(w.arrivals()), 3)
		w.engine.Resume()
		time.Sleep(time.Second)
		assert.Equal(t, w.owner.state("later"), message.Completed)
	})
}

// What is queued of a released partition is forgotten; what is out ends, also when the partition comes back meanwhile.
func TestReleasedPartition(t *testing.T) {
	inWorld(t, func(w *world) {
		standIn := w.addWorker("i-1", "s", "10.0.1.1")
		standIn.does(succeedAfter(300 * time.Millisecond))
		w.configure()
		w.listAll()
		first := w.submit("first", "r", withKey("k"))
		second := w.submit("second", "r", withKey("k"))
		time.Sleep(100 * time.Millisecond)
		w.engine.Release(0)
		assert.Equal(t, w.engine.InFlightOf(0), 1)
		w.engine.Submit(first, 0)
		w.engine.Submit(second, 0)
		time.Sleep(time.Second)
		assert.DeepEqual(t, w.owner.ends(), []string{"first", "second"})
		assert.Equal(t, len(w.arrivals()), 2)

		w.submit("out", "r")
		time.Sleep(100 * time.Millisecond)
		w.submit("queued", "r", dueAfter(time.Second))
		w.engine.Release(0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, w.owner.state("out"), message.Completed)
		assert.Equal(t, w.owner.state("queued"), message.Queued)
		assert.Equal(t, len(w.arrivals()), 3)
		assert.Equal(t, w.engine.Stats().Queued, 0)
	})
}
