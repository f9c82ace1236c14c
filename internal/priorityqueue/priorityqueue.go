// Package priorityqueue has a binary heap of typed items. It does what container/heap does, in the same steps, without an
// interface value an item and without the five methods that each type of items would have to repeat.
package priorityqueue

// Item is what a Queue holds: a type that tells its own order.
type Item[T any] interface {
	// Before tells whether the item is to leave the queue before the other one.
	Before(other T) bool
}

// Queue is a priority queue. Its first element is the next one to leave; the others stand in heap order. The zero value
// is an empty queue. Items of which neither is before the other leave in no particular order.
type Queue[T Item[T]] []T

// Push adds an item.
func (q *Queue[T]) Push(item T) {
	*q = append(*q, item)
	q.up(len(*q) - 1)
}

// Pop removes the first item and returns it. The queue must not be empty.
func (q *Queue[T]) Pop() T {
	items := *q
	last := len(items) - 1
	items[0], items[last] = items[last], items[0]
	q.down(last)
	first := items[last]
	var zero T
	items[last] = zero // the queue's memory keeps nothing alive that has left
	*q = items[:last]
	return first
}

// up moves an item towards the front until its parent is not behind it.
func (q *Queue[T]) up(index int) {
	items := *q
	for index > 0 {
		parent := (index - 1) / 2
		if !items[index].Before(items[parent]) {
			return
		}
		items[index], items[parent] = items[parent], items[index]
		index = parent
	}
}

// down moves the first item towards the back of the first length items until no child is before it.
func (q *Queue[T]) down(length int) {
	items := *q
	index := 0
	for {
		child := 2*index + 1
		if child >= length {
			return
		}
		if right := child + 1; right < length && items[right].Before(items[child]) {
			child = right
		}
		if !items[child].Before(items[index]) {
			return
		}
		items[index], items[child] = items[child], items[index]
		index = child
	}
}
