package delivery

import (
	"time"

	"go.uber.org/zap"
)

const (
	// healthResetInterval is the shortest time between two resets of the health of idle endpoints while messages are
	// pending.
	healthResetInterval = 5 * time.Millisecond
	// ownZoneShare is the fraction of the store's part of the service's slots that the store fills at workers of its
	// own zone before it uses workers of other zones.
	ownZoneShare = 0.8
)

// maxConcurrency returns how many attempts may be in flight to all ready endpoints together.
func (s *service) maxConcurrency() int {
	sum := 0
	for _, target := range s.endpoints {
		if target.ready() {
			sum += target.limit
		}
	}
	return sum
}

// hasOwnZoneCapacity reports whether the next message goes to a worker in the store's zone, to avoid traffic between
// zones.
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
	return workers > 0 && float64(inFlight) < ownZoneShare*float64(slots)/float64(max(s.callerCount, 1))
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

// refreshCallerCount applies a change of the number of callers that share the workers.
func (s *service) refreshCallerCount() {
	if callerCount := s.engine.countCallers(); callerCount != s.callerCount {
		s.callerCount = callerCount
		s.setLimits()
	}
}

func (s *service) setLimits() {
	for _, target := range s.endpoints {
		target.setLimit(s.definition, s.callerCount, s.engine.endpoints.dial)
	}
}

// restoreMisdirected makes an endpoint available again some time after another worker responded at its address, if the
// endpoint is static or still on the list. It returns the time at which the next endpoint becomes available.
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
		if target.static {
			target.unavailable.Store(false)
			s.sendWorkerChange(target)
		}
		s.engine.applyWorkers()
		return now
	}
	return next
}

// resetNextHealth resets the health of the next ready endpoint, so that the decision module tries each worker in turn
// while the service is down.
func (s *service) resetNextHealth(now time.Duration) {
	for range s.endpoints {
		s.healthResetCursor = (s.healthResetCursor + 1) % len(s.endpoints)
		if target := s.endpoints[s.healthResetCursor]; target.ready() {
			s.resetHealth(now, target)
			return
		}
	}
}

// resetIdleHealth resets the health of all endpoints that are not ejected and have capacity. It reports whether there
// are any.
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

// resetHealth reports workers as restarted to the decision module. The module then forgets their failures.
func (s *service) resetHealth(now time.Duration, targets ...*endpoint) {
	if s.adapter == nil {
		return
	}
	for _, target := range targets {
		target.healthResetAt = now
	}
	s.adapter.sendWorkerChanges(targets)
}

// recordResult applies the result of an attempt at an endpoint to the health of the endpoint and the service.
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
		target.recordResponse()
		s.concurrency.onResponse(s.maxConcurrency())
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
		s.sendWorkerChange(target)
	}
}

// sendWorkerChange tells the decision module that an endpoint has become available or unavailable.
func (s *service) sendWorkerChange(target *endpoint) {
	if s.adapter != nil {
		s.adapter.sendWorkerChanges([]*endpoint{target})
	}
}

// throttle applies a response with status 429. If the workers share a rate limit or the endpoint is static, it pauses
// the whole service; otherwise it ejects the endpoint for the throttled backoff.
func (s *service) throttle(target *endpoint, now time.Duration) {
	if s.definition.RateLimitPerSecond > 0 || target.static {
		s.concurrency.onThrottled(now, s.engine.random)
		return
	}
	target.ejectedUntil = now + throttledBackoff
	s.concurrency.onFailure(now, s.readyCount(), s.engine.random)
}
