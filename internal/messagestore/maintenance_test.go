package messagestore

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestCompactionKeepsWhatIsNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		large := strings.Repeat("x", 100<<10)
		var ids []string
		for i := range 120 {
			ids = append(ids, h.mustPut(fmt.Sprint(i), "key", fmt.Sprint(i, large)))
		}
		leader := h.leader(ids[0])
		for _, id := range ids[10:] {
			leader.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: id})
		}
		before := leader.store.log.Size()
		for range 6 {
			assert.NilError(t, leader.store.Compact())
		}
		assert.Assert(t, leader.store.log.Size() < before/2)
		h.stop(leader.name)
		leader.disk.PowerLoss()
		h.start(leader.name)
		time.Sleep(time.Second)
		for i, id := range ids[:10] {
			body, err := h.body(id)
			assert.NilError(t, err)
			assert.Equal(t, body, fmt.Sprint(i, large))
		}
		outcome, err := h.state(ids[50])
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, ids[50])
	})
}

func TestExpiredMessagesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		id := h.mustPut("r", "", "x")
		leader := h.leader(id)
		leader.store.Ended(h.messageOf(id), message.Outcome{State: message.DeadLetter})
		time.Sleep(50 * time.Second)
		outcome, err := h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.DeadLetter)
		time.Sleep(30 * time.Second)
		_, err = h.state(id)
		assert.Assert(t, errors.Is(err, message.ErrNotFound))
	})
}

func TestReportsOfAStoreAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		store := h.machines["a"].store
		assert.Assert(t, store.isReportDue("b", time.Now()))
		assert.Assert(t, !store.isReportDue("b", time.Now()))
		assert.Assert(t, store.isReportDue("c", time.Now()))
		time.Sleep(reportInterval)
		assert.Assert(t, store.isReportDue("b", time.Now()))
	})
}
