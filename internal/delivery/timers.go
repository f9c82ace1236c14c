package delivery

import (
	"container/heap"
	"time"
)

// timer asks a decider to look at something at a time on the engine's clock.
type timer struct {
	due     time.Duration
	decider *decider
	token   uint32
}

// timerHeap keeps the decision modules' timers, the earliest first.
type timerHeap []timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timerHeap) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(value any) { *t = append(*t, value.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}

func (t *timerHeap) add(added timer) { heap.Push(t, added) }

// expired removes and returns the earliest timer if it is due.
func (t *timerHeap) expired(now time.Duration) (timer, bool) {
	if len(*t) == 0 || (*t)[0].due > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// next is when the earliest timer is due.
func (t timerHeap) next() time.Duration {
	if len(t) == 0 {
		return never
	}
	return t[0].due
}
