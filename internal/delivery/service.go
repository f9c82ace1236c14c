package delivery

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
)

// service is the event loop's state of one configured service.
type service struct {
	engine            *Engine
	definition        *configuration.Service
	routes            []*configuration.Route // by name
	routeQueues       []*routeQueue
	adapter           *decisionAdapter // nil until the service has work
	signature         string           // of the definition and routes that the adapter was made from
	gauge             *serviceGauge
	rateLimiter       tokenBucket
	concurrency       concurrencyLimit
	endpoints         []*endpoint
	callerCount       int           // number of callers that share the limits of its workers
	dispatched        int           // number of messages that are dispatched now
	starts            int           // number of messages dispatched so far
	healthResetCursor int           // index of the endpoint whose health was last reset while the service is down
	healthResetAt     time.Duration // when the health of idle endpoints was last reset
	dirty             bool          // it must run in this turn
	nextRun           time.Duration // time of the next run
	scheduleIndex     int           // its index in the heap of services by nextRun; -1 if it is not there
}

// startsPerOverdue is the interval, in starts, at which an overdue message starts while other messages can start in
// time.
const startsPerOverdue = 4

// dispatch passes due messages to the decision module while the limits permit it. It returns the latest time at which
// the service must run again. It runs earlier if an attempt ends or a message comes due.
func (s *service) dispatch(now time.Duration) time.Duration {
	s.refreshCallerCount()
	next := s.restoreMisdirected(now)
	for !s.engine.gates.isPaused() {
		queued := s.nextMessage(now)
		if queued == nil || !s.ensureAdapter() || s.dispatched >= s.concurrency.updateLimit(s.maxConcurrency()) {
			return next
		}
		if s.concurrency.resumeAt > now {
			return min(next, s.concurrency.resumeAt)
		}
		if wait := s.rateLimiter.wait(now); wait > 0 {
			return min(next, now+wait)
		}
		s.start(queued, now)
	}
	return next
}

// start passes a message to the decision module, unless the message has expired or its partition may not deliver.
func (s *service) start(queued *queuedMessage, now time.Duration) {
	queued.heap.remove(queued)
	switch {
	case queued.expired(now):
		s.engine.endWithoutAttempt(queued, deadLetter)
	case !s.engine.mayDeliver(queued):
		s.engine.park(queued, now)
	default:
		s.starts++
		if s.concurrency.down {
			s.resetNextHealth(now)
		}
		s.adapter.offer(queued, queued.routeQueue.route)
	}
}

// ensureAdapter creates the adapter of the service if there is none. It reports whether the service has one.
func (s *service) ensureAdapter() bool {
	if s.adapter != nil {
		return true
	}
	created, err := newDecisionAdapter(s)
	if err != nil {
		s.engine.logger.Error("cannot create the decision module of a service",
			zap.String("service", s.definition.Name), zap.Error(err))
		return false
	}
	s.adapter = created
	return true
}

// nextMessage returns the message that starts next, or nil. Messages that can start in time come first. An overdue
// message is taken at fixed intervals, so that overdue messages are not starved under any load.
func (s *service) nextMessage(now time.Duration) *queuedMessage {
	inTime, overdue := s.candidates(now)
	if inTime == nil || overdue != nil && s.starts%startsPerOverdue == 0 {
		return overdue
	}
	return inTime
}

// candidates returns the message that should start first among those that can start in time, and the one among the
// overdue messages. If two messages have the same latest start time, the one with the higher priority starts first.
func (s *service) candidates(now time.Duration) (inTime, overdue *queuedMessage) {
	for _, q := range s.routeQueues {
		q.moveOverdue(now)
		inTime = earlierStart(inTime, q.ready.first())
		overdue = earlierStart(overdue, q.overdue.first())
	}
	return inTime, overdue
}

// earlierStart returns the message that should start first. Either argument may be nil.
func earlierStart(a, b *queuedMessage) *queuedMessage {
	switch {
	case a == nil:
		return b
	case b == nil || a.startBy() < b.startBy():
		return a
	case b.startBy() < a.startBy() || b.routeQueue.route.Priority < a.routeQueue.route.Priority:
		return b
	default:
		return a
	}
}
