package controlplane

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

func TestWorkersTravelAsChanges(t *testing.T) {
	var cache workerCache
	const count = 1000
	var versions []cluster.WorkerVersion
	for i := range historyLength + 10 {
		cache.noteRead(1, listOf(count, i), time.Now())
		list, _ := cache.load()
		versions = append(versions, list.Version())
	}
	newest, _ := cache.load()
	changes, known := cache.since(versions[len(versions)-3])
	assert.Assert(t, known)
	held := &cluster.WorkerList{Epoch: 1, Revision: versions[len(versions)-3].Revision, Workers: listOf(count, len(versions)-3)}
	got, applied := held.ApplyAll(changes)
	assert.Assert(t, applied)
	assert.DeepEqual(t, got.Workers, newest.Workers)
	_, known = cache.since(versions[0])
	assert.Assert(t, !known, "too old: the whole list is sent")

	cache.noteRead(1, listOf(count, -1)[:count/4], time.Now())
	_, known = cache.since(versions[len(versions)-1])
	assert.Assert(t, !known, "most entries have changed: the whole list is sent")
}

func TestNewsAreEncodedOnce(t *testing.T) {
	var cache encodeCache[uint64]
	first, err := cache.get(1, 2, "a")
	assert.NilError(t, err)
	again, err := cache.get(1, 2, "not encoded")
	assert.NilError(t, err)
	assert.Equal(t, string(first), string(again))
	later, err := cache.get(1, 3, "b")
	assert.NilError(t, err)
	assert.Equal(t, string(later), `"b"`)
}
