package delivery

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
)

// service is what the event loop keeps of one service.
type service struct {
	engine            *Engine
	definition        *configuration.Service
	routes            []*configuration.Route // by name
	routeQueues       []*routeQueue
	adapter           *decisionAdapter // nil until the service has work
	signature         string           // of what the adapter was made from
	gauge             *serviceGauge
	rateLimiter       tokenBucket
	concurrency       concurrencyLimit
	endpoints         []*endpoint
	share             int           // the callers among which its workers' limits are divided
	dispatched        int           // messages that are dispatched
	starts            int           // messages dispatched so far
	healthResetCursor int           // the endpoint whose health was reset last, while the service is down
	healthResetAt     time.Duration // when idle endpoints' health was reset last
	dirty             bool          // to be run in this turn
	nextRun           time.Duration // when it is to be run next
	scheduleIndex     int           // its index among the services by that time; -1 where it has none
}

// startsPerOverdue is how many messages start for each that is overdue, while others can start in time.
const startsPerOverdue = 4

// dispatch hands due messages to the decision module while the limits permit it. It returns when the service is to be run
// again at the latest; ends of attempts and messages that come due have it run before.
func (s *service) dispatch(now time.Duration) time.Duration {
	s.refreshShare()
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

// start hands a message to the decision module, unless it has expired or its partition may not deliver.
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

// ensureAdapter makes the service's adapter to the decision module if there is none. It tells whether there is one.
func (s *service) ensureAdapter() bool {
	if s.adapter != nil {
		return true
	}
	made, err := newDecisionAdapter(s)
	if err != nil {
		s.engine.logger.Error("no decision module for a service", zap.String("service", s.definition.Name), zap.Error(err))
		return false
	}
	s.adapter = made
	return true
}

// nextMessage is the message that should start next, or nil. Those that can start in time come first; of the overdue ones,
// one is taken now and then, so that they are not starved under any load.
func (s *service) nextMessage(now time.Duration) *queuedMessage {
	inTime, overdue := s.candidates(now)
	if inTime == nil || overdue != nil && s.starts%startsPerOverdue == 0 {
		return overdue
	}
	return inTime
}

// candidates finds the message that should start first among those that can start in time, and among the overdue ones. Of
// equal ones it is that with the higher priority.
func (s *service) candidates(now time.Duration) (inTime, overdue *queuedMessage) {
	for _, q := range s.routeQueues {
		q.moveOverdue(now)
		inTime = earlierStart(inTime, q.ready.first())
		overdue = earlierStart(overdue, q.overdue.first())
	}
	return inTime, overdue
}

// earlierStart returns the message that should start first; either may be nil.
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
