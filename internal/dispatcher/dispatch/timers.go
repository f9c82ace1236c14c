// The timers of the core's goroutine.

package dispatch

import (
	"container/heap"
	"time"
)

type timer struct {
	at    time.Duration
	order uint64
	do    func()
}

// timers is a heap; what is due at one time comes in the order in which it was set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, k int) bool {
	return t[i].at < t[k].at || t[i].at == t[k].at && t[i].order < t[k].order
}
func (t timers) Swap(i, k int) { t[i], t[k] = t[k], t[i] }
func (t *timers) Push(v any)   { *t = append(*t, v.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (c *Core) at(when time.Duration, do func()) {
	c.set++
	heap.Push(&c.timers, timer{when, c.set, do})
}
