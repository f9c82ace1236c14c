package delivery

import (
	"container/heap"
	"time"
)

// timer is a wake-up that a decision module has requested, at a time on the engine's clock.
type timer struct {
	due     time.Duration
	adapter *decisionAdapter
	token   uint32
}

// timerQueue is a heap of the timers of all decision modules, the earliest first.
type timerQueue []timer

// Len implements heap.Interface.
func (t timerQueue) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerQueue) Less(i, j int) bool { return t[i].due < t[j].due }

// Swap implements heap.Interface.
func (t timerQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerQueue) Push(value any) { *t = append(*t, value.(timer)) }

// Pop implements heap.Interface.
func (t *timerQueue) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return popped
}

func (t *timerQueue) add(added timer) { heap.Push(t, added) }

// popDue removes and returns the earliest timer if it is due.
func (t *timerQueue) popDue(now time.Duration) (timer, bool) {
	if len(*t) == 0 || (*t)[0].due > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// nextDue returns when the earliest timer is due.
func (t timerQueue) nextDue() time.Duration {
	if len(t) == 0 {
		return never
	}
	return t[0].due
}
