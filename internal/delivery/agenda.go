package delivery

import (
	"container/heap"
	"time"
)

// fullLook is how often all services are looked at while messages are queued. Events and the agenda's times lead to all
// looks that are needed; this one bounds what a missed one would cost.
const fullLook = 250 * time.Millisecond

// agenda knows which services the loop has to look at: those that something happened to, and those whose time has come.
// So a turn costs nothing for the others, however many there are.
type agenda struct {
	touched []*service
	timed   lookHeap
}

// touch has a service looked at in this turn, or in the next where this one is past its looks.
func (a *agenda) touch(s *service) {
	if s == nil || s.touched {
		return
	}
	s.touched = true
	a.touched = append(a.touched, s)
}

// take returns the services to look at now: those that were touched, and those whose time has come.
func (a *agenda) take(now time.Duration) []*service {
	for len(a.timed) > 0 && a.timed[0].lookAt <= now {
		s := a.timed[0]
		heap.Remove(&a.timed, s.lookIndex)
		a.touch(s)
	}
	taken := a.touched
	a.touched = nil
	for _, s := range taken {
		s.touched = false
	}
	return taken
}

// schedule sets when a service is to be looked at again if nothing happens to it before.
func (a *agenda) schedule(s *service, at time.Duration) {
	s.lookAt = at
	switch {
	case at == never && s.lookIndex >= 0:
		heap.Remove(&a.timed, s.lookIndex)
	case at == never:
	case s.lookIndex >= 0:
		heap.Fix(&a.timed, s.lookIndex)
	default:
		heap.Push(&a.timed, s)
	}
}

// forget drops a service that is no more.
func (a *agenda) forget(s *service) { a.schedule(s, never) }

// next is when the next look is due.
func (a *agenda) next(now time.Duration) time.Duration {
	switch {
	case len(a.touched) > 0:
		return now
	case len(a.timed) > 0:
		return a.timed[0].lookAt
	}
	return never
}

// lookHeap holds services by the time of their next look.
type lookHeap []*service

// Len implements heap.Interface.
func (h lookHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h lookHeap) Less(i, j int) bool { return h[i].lookAt < h[j].lookAt }

// Swap implements heap.Interface.
func (h lookHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lookIndex, h[j].lookIndex = i, j
}

// Push implements heap.Interface.
func (h *lookHeap) Push(value any) {
	s := value.(*service)
	s.lookIndex = len(*h)
	*h = append(*h, s)
}

// Pop implements heap.Interface.
func (h *lookHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.lookIndex = -1
	return s
}

// touchAll has all services looked at.
func (e *Engine) touchAll() {
	for _, s := range e.services {
		e.agenda.touch(s)
	}
}

// lookAtServices starts what is due at the services on the agenda, and returns when there is more to do.
func (e *Engine) lookAtServices(now time.Duration) time.Duration {
	if e.queue.size > 0 && now-e.lookedAtAll >= fullLook {
		e.lookedAtAll = now
		e.touchAll()
	}
	for _, s := range e.agenda.take(now) {
		e.agenda.schedule(s, s.look(now))
		s.publishGauge()
	}
	next := e.agenda.next(now)
	if e.queue.size > 0 {
		next = min(next, e.lookedAtAll+fullLook)
	}
	return next
}

// look starts what is due at a service, and returns when it is to be looked at again.
func (s *service) look(now time.Duration) time.Duration {
	for _, l := range s.lanes {
		l.promote(now)
	}
	next := s.pump(now)
	for _, l := range s.lanes {
		next = min(next, l.nextDue())
	}
	return next
}
