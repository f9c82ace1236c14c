package workerlist

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func listOf(count, draining int) []cluster.Worker {
	var workers []cluster.Worker
	for i := range count {
		workers = append(workers, cluster.Worker{ID: fmt.Sprintf("i-%04d", i), Draining: i == draining})
	}
	return workers
}

func TestWorkerListIsSentAsChanges(t *testing.T) {
	var cache Cache
	const count = 1000
	var versions []cluster.WorkerVersion
	for i := range maxHistoryChanges + 10 {
		cache.RecordRead(1, listOf(count, i), time.Now())
		list, _ := cache.Load()
		versions = append(versions, list.Version())
	}
	newest, _ := cache.Load()
	changes, known := cache.ChangesSince(versions[len(versions)-3])
	assert.Assert(t, known)
	held := &cluster.WorkerList{Epoch: 1, Revision: versions[len(versions)-3].Revision, Workers: listOf(count, len(versions)-3)}
	got, applied := held.ApplyAll(changes)
	assert.Assert(t, applied)
	assert.DeepEqual(t, got.Workers, newest.Workers)
	_, known = cache.ChangesSince(versions[0])
	assert.Assert(t, !known, "the version is too old, so the whole list is sent")

	cache.RecordRead(1, listOf(count, -1)[:count/4], time.Now())
	_, known = cache.ChangesSince(versions[len(versions)-1])
	assert.Assert(t, !known, "most entries have changed, so the whole list is sent")
}
