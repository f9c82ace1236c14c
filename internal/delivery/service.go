package delivery

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
)

// service is what the loop keeps of one service.
type service struct {
	engine            *Engine
	definition        *configuration.Service
	routes            []*configuration.Route // by name
	routeQueues       []*routeQueue
	adapter           *decisionAdapter // nil until the service has work
	signature         string           // of what the decider was made from
	gauge             *serviceGauge
	rateLimiter       tokenBucket
	concurrency       concurrencyLimit
	endpoints         []*endpoint
	share             int // by how many callers its workers' limits are divided
	pending           int // messages with deciders
	starts            int // counts
	healthResetCursor int // the destination whose doubts are cleared next
	healthResetAt     time.Duration
	dirty             bool          // it is on the agenda of this turn
	nextRun           time.Duration // when it is to be looked at next
	scheduleIndex     int           // its place among the services by that time; -1 where it has none
}

// renewSpan is how often the decision module's doubts about workers may be cleared while messages are held.
const healthResetInterval = 5 * time.Millisecond

// startsPerLate is how many messages start for each that is late, while others can start in time.
const startsPerOverdue = 4

// pump hands due messages to the decider while there is room. It returns when to look again at the latest; ends of
// attempts and due messages lead to looks of their own.
func (s *service) dispatch(now time.Duration) time.Duration {
	s.refreshShare()
	next := s.restoreMisdirected(now)
	for !s.engine.gates.isPaused() {
		queued := s.nextMessage(now)
		if queued == nil || !s.ensureAdapter() || s.pending >= s.concurrency.allowed(s.maxConcurrency()) {
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

// start hands a message that has been due for longest to the decider, unless it has expired or may not be delivered.
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

// next is the message that should start next, or nil. Those that can start in time come first; of the others one is
// taken now and then, so that they come to their turn under any load.
func (s *service) nextMessage(now time.Duration) *queuedMessage {
	inTime, late := s.candidates(now)
	if inTime == nil || late != nil && s.starts%startsPerOverdue == 0 {
		return late
	}
	return inTime
}

// best finds the message that is wanted soonest among those that can start in time, and among the late ones. Of equal
// ones it is that with the higher priority.
func (s *service) candidates(now time.Duration) (inTime, late *queuedMessage) {
	for _, q := range s.routeQueues {
		q.moveOverdue(now)
		inTime = earlierStart(inTime, q.ready.first())
		late = earlierStart(late, q.overdue.first())
	}
	return inTime, late
}

// sooner returns the entry that is wanted first; either may be nil.
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

// limit is how many attempts may be out to the ready destinations.
func (s *service) maxConcurrency() int {
	sum := 0
	for _, d := range s.endpoints {
		if d.ready() {
			sum += d.limit
		}
	}
	return sum
}

// nearPart is how much of its part of the service's slots a store fills at the workers of its own zone before it uses
// those of other zones.
const ownZoneShare = 0.8

// hasRoomNear tells whether the next message should go to a worker in the store's own zone: there its bytes cross no
// border between zones.
func (s *service) hasOwnZoneCapacity() bool {
	flying, near, slots := 0, 0, 0
	for _, d := range s.endpoints {
		if d.static || !d.ready() {
			continue
		}
		slots += max(d.worker.Capacity, 1)
		if d.zone == ownZone {
			near++
			flying += d.inFlight
		}
	}
	return near > 0 && float64(flying) < ownZoneShare*float64(slots)/float64(max(s.share, 1))
}

func (s *service) readyCount() int {
	count := 0
	for _, d := range s.endpoints {
		if d.ready() {
			count++
		}
	}
	return count
}

// checkShare takes a change in the number of callers into account.
func (s *service) refreshShare() {
	if share := s.engine.connectionShare(); share != s.share {
		s.share = share
		s.setLimits()
	}
}

func (s *service) setLimits() {
	for _, d := range s.endpoints {
		d.setLimit(s.definition, s.share, s.engine.endpoints.dial)
	}
}

// reviveWrong gives the workers another chance at whose address another one answered, if they still are listed.
func (s *service) restoreMisdirected(now time.Duration) time.Duration {
	next := never
	for _, d := range s.endpoints {
		if d.misdirectedUntil == 0 {
			continue
		}
		if now < d.misdirectedUntil {
			next = min(next, d.misdirectedUntil)
			continue
		}
		d.misdirectedUntil = 0
		s.engine.applyWorkers()
		return now
	}
	return next
}

// clearNextDoubt has the decision module try one more worker, each in turn, while the service is down.
func (s *service) resetNextHealth(now time.Duration) {
	for range s.endpoints {
		s.healthResetCursor = (s.healthResetCursor + 1) % len(s.endpoints)
		if d := s.endpoints[s.healthResetCursor]; d.ready() {
			s.resetHealth(now, d)
			return
		}
	}
}

// clearIdleDoubts has the decision module trust all workers that nothing speaks against. It tells whether there are
// such workers.
func (s *service) resetIdleHealth(now time.Duration) bool {
	if now-s.healthResetAt < healthResetInterval {
		return false
	}
	var trusted []*endpoint
	for _, d := range s.endpoints {
		if d.ready() && d.inFlight < d.limit && now >= d.ejectedUntil {
			trusted = append(trusted, d)
		}
	}
	if len(trusted) == 0 {
		return false
	}
	s.healthResetAt = now
	s.resetHealth(now, trusted...)
	return true
}

// clearDoubts tells the decision module of a restart, upon which it forgets what it held against the workers.
func (s *service) resetHealth(now time.Duration, doubted ...*endpoint) {
	if s.adapter == nil {
		return
	}
	for _, d := range doubted {
		d.healthResetAt = now
	}
	s.adapter.sendWorkerChanges(doubted)
}

// note learns from an attempt's verdict.
func (s *service) recordResult(d *endpoint, v attemptResult) {
	wasDown := s.concurrency.down
	s.applyResult(d, v)
	if s.concurrency.down != wasDown {
		s.engine.logger.Info("service availability changed", zap.String("service", s.definition.Name),
			zap.Bool("down", s.concurrency.down), zap.Int("ready", s.readyCount()))
	}
}

func (s *service) applyResult(d *endpoint, v attemptResult) {
	now := s.engine.now()
	switch v {
	case resultCompleted, resultRejected, resultFailed, resultRunning:
		d.recordAnswer()
		s.concurrency.onAnswer(s.maxConcurrency())
	case resultFull:
		d.eject(now)
		s.concurrency.onRejection()
		s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
	case resultDeadlineExceeded:
		s.concurrency.onRejection()
	case resultThrottled:
		s.throttle(d, now)
	case resultUnreachable, resultUncertain, resultTimedOut:
		d.eject(now)
		s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
	case resultMisdirected:
		d.unavailable.Store(true)
		d.misdirectedUntil = now + misdirectedPause
		if s.adapter != nil {
			s.adapter.sendWorkerChanges([]*endpoint{d})
		}
	}
}

// throttle keeps messages back after a worker said that it gets too many: from all workers where they share a ceiling.
func (s *service) throttle(d *endpoint, now time.Duration) {
	if s.definition.RateLimitPerSecond > 0 || d.static {
		s.concurrency.onThrottled(now, s.engine.random)
		return
	}
	d.ejectedUntil = now + throttledBackoff
	s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
}
