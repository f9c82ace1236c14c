package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func randomWorkers(random *rand.Rand, ids int) []Worker {
	var workers []Worker
	for id := range ids {
		if random.IntN(2) == 0 {
			workers = append(workers, Worker{ID: fmt.Sprintf("i-%02d", id), Capacity: random.IntN(3)})
		}
	}
	return workers
}

func TestAppliedWorkerChangesYieldTheTargetList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	same := func(a, b Worker) bool { return a == b }
	for range 500 {
		first := &WorkerList{Epoch: 3, Revision: 1, Workers: randomWorkers(random, 20)}
		second := &WorkerList{Epoch: 3, Revision: 2, Workers: randomWorkers(random, 20)}
		third := &WorkerList{Epoch: 4, Revision: 1, Workers: randomWorkers(random, 20)}
		changes := []WorkerChange{*DiffWorkers(first, second, same), *DiffWorkers(second, third, same)}
		got, applied := first.ApplyAll(changes)
		assert.Assert(t, applied)
		assert.Equal(t, got.Version(), third.Version())
		assert.Equal(t, fmt.Sprint(got.Workers), fmt.Sprint(third.Workers))
		_, applied = second.ApplyAll(changes)
		assert.Assert(t, !applied, "changes that start from another version were applied")
		assert.Equal(t, DiffWorkers(third, third, same).Size(), 0)
	}
}

func TestApplyDoesNotModifyTheWorkerList(t *testing.T) {
	list := &WorkerList{Epoch: 1, Revision: 1, Workers: []Worker{{ID: "a"}, {ID: "c"}}}
	next, applied := list.Apply(&WorkerChange{
		From: list.Version(), To: WorkerVersion{1, 2}, Set: []Worker{{ID: "b"}}, Removed: []string{"c"},
	})
	assert.Assert(t, applied)
	assert.Equal(t, len(list.Workers), 2, "Apply modified the original list")
	assert.DeepEqual(t, next.Workers, []Worker{{ID: "a"}, {ID: "b"}})
}
