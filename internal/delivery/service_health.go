package delivery

import (
	"time"

	"go.uber.org/zap"
)

const (
	// healthResetInterval is the least time between two resets of the idle endpoints' health while messages are pending.
	healthResetInterval = 5 * time.Millisecond
	// ownZoneShare is how much of its share of the service's slots a store fills at the workers of its own zone before it
	// uses those of other zones.
	ownZoneShare = 0.8
)

// maxConcurrency is how many attempts may be in flight to the ready endpoints together.
func (s *service) maxConcurrency() int {
	sum := 0
	for _, target := range s.endpoints {
		if target.ready() {
			sum += target.limit
		}
	}
	return sum
}

// hasOwnZoneCapacity tells whether the next message should go to a worker in the store's own zone, so that its bytes do
// not cross a border between zones.
func (s *service) hasOwnZoneCapacity() bool {
	inFlight, workers, slots := 0, 0, 0
	for _, target := range s.endpoints {
		if target.static || !target.ready() {
			continue
		}
		slots += max(target.worker.Capacity, 1)
		if target.zone == ownZone {
			workers++
			inFlight += target.inFlight
		}
	}
	return workers > 0 && float64(inFlight) < ownZoneShare*float64(slots)/float64(max(s.share, 1))
}

func (s *service) readyCount() int {
	count := 0
	for _, target := range s.endpoints {
		if target.ready() {
			count++
		}
	}
	return count
}

// refreshShare applies a change in the number of callers that share the workers.
func (s *service) refreshShare() {
	if share := s.engine.connectionShare(); share != s.share {
		s.share = share
		s.setLimits()
	}
}

func (s *service) setLimits() {
	for _, target := range s.endpoints {
		target.setLimit(s.definition, s.share, s.engine.endpoints.dial)
	}
}

// restoreMisdirected makes the endpoints available again at whose address another worker answered a while ago, if they
// still are on the list. It returns when there will be more to restore.
func (s *service) restoreMisdirected(now time.Duration) time.Duration {
	next := never
	for _, target := range s.endpoints {
		if target.misdirectedUntil == 0 {
			continue
		}
		if now < target.misdirectedUntil {
			next = min(next, target.misdirectedUntil)
			continue
		}
		target.misdirectedUntil = 0
		s.engine.applyWorkers()
		return now
	}
	return next
}

// resetNextHealth has the decision module try one more worker, each in turn, while the service is down.
func (s *service) resetNextHealth(now time.Duration) {
	for range s.endpoints {
		s.healthResetCursor = (s.healthResetCursor + 1) % len(s.endpoints)
		if target := s.endpoints[s.healthResetCursor]; target.ready() {
			s.resetHealth(now, target)
			return
		}
	}
}

// resetIdleHealth has the decision module trust all endpoints that are not ejected and have capacity. It tells whether
// there are any.
func (s *service) resetIdleHealth(now time.Duration) bool {
	if now-s.healthResetAt < healthResetInterval {
		return false
	}
	var idle []*endpoint
	for _, target := range s.endpoints {
		if target.ready() && target.inFlight < target.limit && now >= target.ejectedUntil {
			idle = append(idle, target)
		}
	}
	if len(idle) == 0 {
		return false
	}
	s.healthResetAt = now
	s.resetHealth(now, idle...)
	return true
}

// resetHealth tells the decision module of a restart of workers, upon which it forgets their failures.
func (s *service) resetHealth(now time.Duration, targets ...*endpoint) {
	if s.adapter == nil {
		return
	}
	for _, target := range targets {
		target.healthResetAt = now
	}
	s.adapter.sendWorkerChanges(targets)
}

// recordResult learns from the result of an attempt at an endpoint.
func (s *service) recordResult(target *endpoint, result attemptResult) {
	wasDown := s.concurrency.down
	s.applyResult(target, result)
	if s.concurrency.down != wasDown {
		s.engine.logger.Info("service availability changed", zap.String("service", s.definition.Name),
			zap.Bool("down", s.concurrency.down), zap.Int("ready", s.readyCount()))
	}
}

func (s *service) applyResult(target *endpoint, result attemptResult) {
	now := s.engine.now()
	switch result {
	case resultCompleted, resultRejected, resultFailed, resultRunning:
		target.recordAnswer()
		s.concurrency.onAnswer(s.maxConcurrency())
	case resultFull:
		target.eject(now)
		s.concurrency.onRejection()
		s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
	case resultDeadlineExceeded:
		s.concurrency.onRejection()
	case resultThrottled:
		s.throttle(target, now)
	case resultUnreachable, resultUncertain, resultTimedOut:
		target.eject(now)
		s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
	case resultMisdirected:
		target.unavailable.Store(true)
		target.misdirectedUntil = now + misdirectedPause
		if s.adapter != nil {
			s.adapter.sendWorkerChanges([]*endpoint{target})
		}
	}
}

// throttle applies a worker's answer that it gets too many requests: to the whole service where the workers share a rate
// limit, else to the endpoint.
func (s *service) throttle(target *endpoint, now time.Duration) {
	if s.definition.RateLimitPerSecond > 0 || target.static {
		s.concurrency.onThrottled(now, s.engine.random)
		return
	}
	target.ejectedUntil = now + throttledBackoff
	s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
}
