package priorityqueue

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// task is an item that is ordered by due only. Its number tells apart tasks that are due at the same time.
type task struct{ due, number int }

// Before reports whether the task is due earlier than the other.
func (t task) Before(other task) bool { return t.due < other.due }

// reference is a queue of tasks for container/heap.
type reference []task

func (r reference) Len() int           { return len(r) }
func (r reference) Less(i, j int) bool { return r[i].due < r[j].due }
func (r reference) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *reference) Push(value any)    { *r = append(*r, value.(task)) }
func (r *reference) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// TestQueueMatchesContainerHeap compares the whole heap array after each step. Many tasks are due at the same time, so
// a different order among equal items shows as well.
func TestQueueMatchesContainerHeap(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var queue Queue[task]
	var expected reference
	for number := range 5000 {
		if len(queue) > 0 && random.IntN(5) < 2 {
			assert.Equal(t, queue.Pop(), heap.Pop(&expected).(task))
		} else {
			added := task{due: random.IntN(40), number: number}
			queue.Push(added)
			heap.Push(&expected, added)
		}
		assert.Assert(t, slices.Equal([]task(queue), []task(expected)), "the heap differs from container/heap after step %d", number)
	}
	for previous := -1; len(queue) > 0; {
		next := queue.Pop()
		assert.Assert(t, previous <= next.due)
		previous = next.due
	}
}

func TestPopClearsTheFreedSlot(t *testing.T) {
	queue := Queue[task]{{due: 1, number: 7}}
	assert.Equal(t, queue.Pop(), task{due: 1, number: 7})
	assert.Equal(t, queue[:1][0], task{})
}
