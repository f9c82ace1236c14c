package delivery

import (
	"container/heap"
	"time"
)

// fullLook is how often all services are looked at while messages are queued. Events and the agenda's times lead to all
// looks that are needed; this one bounds what a missed one would cost.
const fullSweepInterval = 250 * time.Millisecond

// agenda knows which services the loop has to look at: those that something happened to, and those whose time has come.
// So a turn costs nothing for the others, however many there are.
type serviceSchedule struct {
	dirty []*service
	timed serviceHeap
}

// touch has a service looked at in this turn, or in the next where this one is past its looks.
func (a *serviceSchedule) markDirty(s *service) {
	if s == nil || s.dirty {
		return
	}
	s.dirty = true
	a.dirty = append(a.dirty, s)
}

// take returns the services to look at now: those that were touched, and those whose time has come.
func (a *serviceSchedule) takeDue(now time.Duration) []*service {
	for len(a.timed) > 0 && a.timed[0].nextRun <= now {
		s := a.timed[0]
		heap.Remove(&a.timed, s.scheduleIndex)
		a.markDirty(s)
	}
	taken := a.dirty
	a.dirty = nil
	for _, s := range taken {
		s.dirty = false
	}
	return taken
}

// schedule sets when a service is to be looked at again if nothing happens to it before.
func (a *serviceSchedule) setTime(s *service, at time.Duration) {
	s.nextRun = at
	switch {
	case at == never && s.scheduleIndex >= 0:
		heap.Remove(&a.timed, s.scheduleIndex)
	case at == never:
	case s.scheduleIndex >= 0:
		heap.Fix(&a.timed, s.scheduleIndex)
	default:
		heap.Push(&a.timed, s)
	}
}

// forget drops a service that is no more.
func (a *serviceSchedule) remove(s *service) { a.setTime(s, never) }

// next is when the next look is due.
func (a *serviceSchedule) nextTime(now time.Duration) time.Duration {
	switch {
	case len(a.dirty) > 0:
		return now
	case len(a.timed) > 0:
		return a.timed[0].nextRun
	}
	return never
}

// lookHeap holds services by the time of their next look.
type serviceHeap []*service

// Len implements heap.Interface.
func (h serviceHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h serviceHeap) Less(i, j int) bool { return h[i].nextRun < h[j].nextRun }

// Swap implements heap.Interface.
func (h serviceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].scheduleIndex, h[j].scheduleIndex = i, j
}

// Push implements heap.Interface.
func (h *serviceHeap) Push(value any) {
	s := value.(*service)
	s.scheduleIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *serviceHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.scheduleIndex = -1
	return s
}

// touchAll has all services looked at.
func (e *Engine) markAllDirty() {
	for _, s := range e.services {
		e.schedule.markDirty(s)
	}
}

// lookAtServices starts what is due at the services on the agenda, and returns when there is more to do.
func (e *Engine) dispatchServices(now time.Duration) time.Duration {
	if e.backlog.size > 0 && now-e.lastFullSweep >= fullSweepInterval {
		e.lastFullSweep = now
		e.markAllDirty()
	}
	for _, s := range e.schedule.takeDue(now) {
		e.schedule.setTime(s, s.dispatchDue(now))
		s.publishGauge()
	}
	next := e.schedule.nextTime(now)
	if e.backlog.size > 0 {
		next = min(next, e.lastFullSweep+fullSweepInterval)
	}
	return next
}

// look starts what is due at a service, and returns when it is to be looked at again.
func (s *service) dispatchDue(now time.Duration) time.Duration {
	for _, q := range s.routeQueues {
		q.promote(now)
	}
	next := s.dispatch(now)
	for _, q := range s.routeQueues {
		next = min(next, q.nextDue())
	}
	return next
}
