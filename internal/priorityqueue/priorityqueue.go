// Package priorityqueue implements a priority queue as a binary heap of typed items. It takes the same steps as
// container/heap, but stores no item in an interface value and requires one method of an item type instead of five.
package priorityqueue

// Item is the constraint for the items of a Queue: a type that defines its own order.
type Item[T any] interface {
	// Before reports whether the item must leave the queue before the other item.
	Before(other T) bool
}

// Queue is a priority queue. Its first element is the next item that Pop returns; the others are in heap order. The
// zero value is an empty queue. Items that are equal in order leave the queue in no particular order.
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
	items[last] = zero // so that the queue's array does not keep a removed item reachable
	*q = items[:last]
	return first
}

// up moves the item at the index towards the front until it is not before its parent.
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

// down moves the first item towards the back until no child is before it. It considers only the first length items.
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
