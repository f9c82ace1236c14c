package messagestore

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/message"
)

// completeAll stores messages of one order key and reports them as completed by their primary. It returns their IDs and
// the primary.
func (h *harness) completeAll(count int) ([]string, *machine) {
	var ids []string
	for i := range count {
		ids = append(ids, h.mustPut(fmt.Sprint(i), "key", "x"))
	}
	primary := h.primary(ids[0])
	for _, id := range ids {
		primary.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: "s"})
	}
	return ids, primary
}

// TestCompletedMessagesDoNotRunAgainAfterAKill guards against a primary that is killed in a quiet time, starts again at
// once, and runs messages again because its own log lacks their outcomes, which its backup has.
func TestCompletedMessagesDoNotRunAgainAfterAKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		ids, primary := h.completeAll(10)
		time.Sleep(syncDelay / 2) // the backup has the outcomes, the primary's disk does not
		h.stop(primary.name)
		h.start(primary.name)
		time.Sleep(time.Second)
		assert.Equal(t, len(primary.engine.ids()), 0)
		outcome, err := h.state(ids[0])
		assert.NilError(t, err)
		assert.DeepEqual(t, outcome, message.Outcome{State: message.Completed, Stamp: "s"})
	})
}

// TestOutcomesSurviveTheKillOfAllStoresInAQuietTime guards against outcomes that stay in memory for as long as no
// message arrives.
func TestOutcomesSurviveTheKillOfAllStoresInAQuietTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		_, primary := h.completeAll(10)
		time.Sleep(time.Second)
		for _, name := range h.names {
			h.stop(name)
			h.machines[name].disk.PowerLoss()
		}
		h.start(primary.name)
		time.Sleep(unreachableReplicaWait + time.Second)
		assert.Equal(t, len(primary.engine.ids()), 0)
		h.startOthers(primary)
	})
}

// TestRestartedPrimaryLearnsFailuresAndDeadLetters guards against more attempts than a route allows after the restart
// of a primary whose log lacks the attempts that failed.
func TestRestartedPrimaryLearnsFailuresAndDeadLetters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		failing, dead := h.mustPut("0", "key", "x"), h.mustPut("1", "key", "y")
		primary := h.primary(failing)
		primary.store.Failed(h.messageOf(failing), 2)
		primary.store.Ended(h.messageOf(dead), message.Outcome{State: message.DeadLetter})
		time.Sleep(syncDelay / 2)
		h.stop(primary.name)
		h.start(primary.name)
		time.Sleep(time.Second)
		assert.DeepEqual(t, primary.engine.ids(), []string{failing})
		assert.DeepEqual(t, primary.engine.failures(), []int{2})
		outcome, err := h.state(dead)
		assert.NilError(t, err)
		assert.Equal(t, outcome.State, message.DeadLetter)
	})
}

// TestMessagesOfBeforeARestartWaitForTheBackup guards against a primary that runs messages of before its restart while
// its backup, which may know their outcomes, does not answer.
func TestMessagesOfBeforeARestartWaitForTheBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		old := h.mustPut("old", "key", "x")
		primary := h.primary(old)
		partition := h.partitionOf(old)
		backup := h.backup(partition)
		h.stop(primary.name)
		h.network.Isolate(primary.ip, backup.ip)
		h.rejectRequests()
		h.start(primary.name)
		time.Sleep(unreachableReplicaWait * 2) // the backup is alive by the table
		assert.Equal(t, len(primary.engine.ids()), 0)

		h.setView(partition, primary.name) // a view without the backup
		synctest.Wait()
		assert.DeepEqual(t, primary.engine.ids(), []string{old})
	})
}

// TestDownBackupDoesNotHoldUpDelivery guards against messages that wait for a replica which the control plane knows to
// be down but can't replace.
func TestDownBackupDoesNotHoldUpDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b")
		defer h.close()
		old := h.mustPut("old", "key", "x")
		primary := h.primary(old)
		for _, name := range h.names {
			h.stop(name)
		}
		h.update(func(table *cluster.Table) {
			for i := range table.Stores {
				if table.Stores[i].Name != primary.name {
					table.Stores[i].State = cluster.StoreDown
				}
			}
		})
		h.start(primary.name)
		time.Sleep(unreachableReplicaWait + maintainInterval)
		assert.DeepEqual(t, primary.engine.ids(), []string{old})
		h.startOthers(primary)
	})
}

// TestCompletedIsAnsweredOnlyOnceItIsDurable guards against a caller that reads a message as completed while only the
// primary's memory says so.
func TestCompletedIsAnsweredOnlyOnceItIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		h.rejectRequests() // the backup is not replaced
		id := h.mustPut("0", "key", "x")
		primary := h.primary(id)
		partition := h.partitionOf(id)
		backup := h.backup(partition)
		h.network.Isolate(primary.ip, backup.ip)
		primary.store.Ended(h.messageOf(id), message.Outcome{State: message.Completed, Stamp: "s"})
		time.Sleep(time.Second)
		outcome, err := h.state(id)
		assert.Assert(t, err != nil || outcome.State == message.Queued, "%v", outcome)
		h.network.Heal(primary.ip, backup.ip)
		time.Sleep(2 * time.Second)
		outcome, err = h.state(id)
		assert.NilError(t, err)
		assert.Equal(t, outcome.Stamp, "s")
	})
}

// TestNewMessagesPassHeldOnesExceptInOrder guards against new messages that wait for the outcomes of old ones, and
// against one that overtakes a held message of its order key.
func TestNewMessagesPassHeldOnesExceptInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, "a", "b", "c")
		defer h.close()
		old := h.mustPut("old", "key", "x")
		primary := h.primary(old)
		partition := h.partitionOf(old)
		backup := h.currentTable().Partitions[partition].Replicas[1]
		p := primary.store.partitions[partition]
		primary.store.mu.Lock()
		p.catchUp = &catchUp{
			held: []*entry{p.entries[old]}, heldKeys: map[string]bool{"key": true},
			unanswered: map[string]bool{backup.DiskID: true}, since: time.Now(),
		}
		primary.store.mu.Unlock()
		behind := h.mustPut("behind", "key", "x")
		assert.NilError(t, h.putAt(partition, "free"))
		assert.DeepEqual(t, primary.engine.ids(), []string{old, "free"})

		primary.store.mu.Lock()
		primary.store.needResync(p, backup)
		primary.store.mu.Unlock()
		time.Sleep(time.Second)
		assert.DeepEqual(t, primary.engine.ids(), []string{old, "free", old, behind})
	})
}
