package delivery

import (
	"container/heap"
	"time"
)

// fullSweepInterval is the time between two runs of all services while messages are queued. Events and the schedule
// should cause every run that is needed; if one is missed, the sweep bounds the delay.
const fullSweepInterval = 250 * time.Millisecond

// serviceSchedule determines which services the loop runs: those that an event concerns, and those whose next run is
// due. In a turn of the loop, the other services cost nothing, however many there are.
type serviceSchedule struct {
	dirty     []*service // services that must run in this turn, or in the next one
	byNextRun serviceHeap
}

// markDirty makes a service run in this turn, or in the next turn if this one has already run its services. A nil
// service is ignored.
func (schedule *serviceSchedule) markDirty(s *service) {
	if s == nil || s.dirty {
		return
	}
	s.dirty = true
	schedule.dirty = append(schedule.dirty, s)
}

// takeDue removes and returns the services to run now: those that are dirty, and those whose next run is due.
func (schedule *serviceSchedule) takeDue(now time.Duration) []*service {
	for len(schedule.byNextRun) > 0 && schedule.byNextRun[0].nextRun <= now {
		s := schedule.byNextRun[0]
		heap.Remove(&schedule.byNextRun, s.scheduleIndex)
		schedule.markDirty(s)
	}
	taken := schedule.dirty
	schedule.dirty = nil
	for _, s := range taken {
		s.dirty = false
	}
	return taken
}

// setNextRun sets when a service runs next if no event causes an earlier run.
func (schedule *serviceSchedule) setNextRun(s *service, next time.Duration) {
	s.nextRun = next
	switch {
	case next == never && s.scheduleIndex >= 0:
		heap.Remove(&schedule.byNextRun, s.scheduleIndex)
	case next == never:
	case s.scheduleIndex >= 0:
		heap.Fix(&schedule.byNextRun, s.scheduleIndex)
	default:
		heap.Push(&schedule.byNextRun, s)
	}
}

// remove removes a service that is no longer configured.
func (schedule *serviceSchedule) remove(s *service) { schedule.setNextRun(s, never) }

// nextDue returns when the next run is due.
func (schedule *serviceSchedule) nextDue(now time.Duration) time.Duration {
	switch {
	case len(schedule.dirty) > 0:
		return now
	case len(schedule.byNextRun) > 0:
		return schedule.byNextRun[0].nextRun
	}
	return never
}

// serviceHeap is a heap of services, the earliest next run first.
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

// markAllDirty makes all services run.
func (e *Engine) markAllDirty() {
	for _, s := range e.services {
		e.schedule.markDirty(s)
	}
}

// dispatchServices runs the services that are due, and returns when the next run is due.
func (e *Engine) dispatchServices(now time.Duration) time.Duration {
	if e.backlog.size > 0 && now-e.lastFullSweep >= fullSweepInterval {
		e.lastFullSweep = now
		e.markAllDirty()
	}
	for _, s := range e.schedule.takeDue(now) {
		e.schedule.setNextRun(s, s.dispatchDue(now))
		s.publishGauge()
	}
	next := e.schedule.nextDue(now)
	if e.backlog.size > 0 {
		next = min(next, e.lastFullSweep+fullSweepInterval)
	}
	return next
}

// dispatchDue starts the messages of a service that are due, and returns when the service must run again.
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
