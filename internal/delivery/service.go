package delivery

import (
	"time"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
)

// service is what the loop keeps of one service.
type service struct {
	engine       *Engine
	definition   *configuration.Service
	routes       []*configuration.Route // by name
	lanes        []*lane
	decider      *decider // nil until the service has work
	signature    string   // of what the decider was made from
	gauge        *serviceGauge
	bucket       tokenBucket
	window       window
	destinations []*destination
	share        int // by how many callers its workers' limits are divided
	open         int // messages with deciders
	starts       int // counts
	probe        int // the destination whose doubts are cleared next
	renewedAt    time.Duration
	touched      bool          // it is on the agenda of this turn
	lookAt       time.Duration // when it is to be looked at next
	lookIndex    int           // its place among the services by that time; -1 where it has none
}

// renewSpan is how often the decision module's doubts about workers may be cleared while messages are held.
const renewSpan = 5 * time.Millisecond

// startsPerLate is how many messages start for each that is late, while others can start in time.
const startsPerLate = 4

// pump hands due messages to the decider while there is room. It returns when to look again at the latest; ends of
// attempts and due messages lead to looks of their own.
func (s *service) pump(now time.Duration) time.Duration {
	s.checkShare()
	next := s.reviveWrong(now)
	for !s.engine.gate.isPaused() {
		en := s.next(now)
		if en == nil || !s.ready() || s.open >= s.window.capacity(s.limit()) {
			return next
		}
		if s.window.resumeAt > now {
			return min(next, s.window.resumeAt)
		}
		if wait := s.bucket.wait(now); wait > 0 {
			return min(next, now+wait)
		}
		s.start(en, now)
	}
	return next
}

// start hands a message that has been due for longest to the decider, unless it has expired or may not be delivered.
func (s *service) start(en *entry, now time.Duration) {
	en.heap.remove(en)
	switch {
	case en.expired(now):
		s.engine.end(en, deadLetter)
	case !s.engine.mayDeliver(en):
		s.engine.park(en, now)
	default:
		s.starts++
		if s.window.down {
			s.clearNextDoubt(now)
		}
		s.decider.offer(en, en.lane.route)
	}
}

// next is the message that should start next, or nil. Those that can start in time come first; of the others one is
// taken now and then, so that they come to their turn under any load.
func (s *service) next(now time.Duration) *entry {
	inTime, late := s.best(now)
	if inTime == nil || late != nil && s.starts%startsPerLate == 0 {
		return late
	}
	return inTime
}

// best finds the message that is wanted soonest among those that can start in time, and among the late ones. Of equal
// ones it is that with the higher priority.
func (s *service) best(now time.Duration) (inTime, late *entry) {
	for _, l := range s.lanes {
		l.splitLate(now)
		inTime = sooner(inTime, l.ready.first())
		late = sooner(late, l.late.first())
	}
	return inTime, late
}

// sooner returns the entry that is wanted first; either may be nil.
func sooner(a, b *entry) *entry {
	switch {
	case a == nil:
		return b
	case b == nil || a.wanted() < b.wanted():
		return a
	case b.wanted() < a.wanted() || b.lane.route.Priority < a.lane.route.Priority:
		return b
	default:
		return a
	}
}

// limit is how many attempts may be out to the ready destinations.
func (s *service) limit() int {
	sum := 0
	for _, d := range s.destinations {
		if d.ready() {
			sum += d.limit
		}
	}
	return sum
}

// nearPart is how much of its part of the service's slots a store fills at the workers of its own zone before it uses
// those of other zones.
const nearPart = 0.8

// hasRoomNear tells whether the next message should go to a worker in the store's own zone: there its bytes cross no
// border between zones.
func (s *service) hasRoomNear() bool {
	flying, near, slots := 0, 0, 0
	for _, d := range s.destinations {
		if d.static || !d.ready() {
			continue
		}
		slots += max(d.worker.Capacity, 1)
		if d.zone == ownZone {
			near++
			flying += d.flying
		}
	}
	return near > 0 && float64(flying) < nearPart*float64(slots)/float64(max(s.share, 1))
}

func (s *service) readyCount() int {
	count := 0
	for _, d := range s.destinations {
		if d.ready() {
			count++
		}
	}
	return count
}

// checkShare takes a change in the number of callers into account.
func (s *service) checkShare() {
	if share := s.engine.connectionShare(); share != s.share {
		s.share = share
		s.setLimits()
	}
}

func (s *service) setLimits() {
	for _, d := range s.destinations {
		d.setLimit(s.definition, s.share, s.engine.destinations.dial)
	}
}

// reviveWrong gives the workers another chance at whose address another one answered, if they still are listed.
func (s *service) reviveWrong(now time.Duration) time.Duration {
	next := never
	for _, d := range s.destinations {
		if d.wrongUntil == 0 {
			continue
		}
		if now < d.wrongUntil {
			next = min(next, d.wrongUntil)
			continue
		}
		d.wrongUntil = 0
		s.engine.applyWorkers()
		return now
	}
	return next
}

// clearNextDoubt has the decision module try one more worker, each in turn, while the service is down.
func (s *service) clearNextDoubt(now time.Duration) {
	for range s.destinations {
		s.probe = (s.probe + 1) % len(s.destinations)
		if d := s.destinations[s.probe]; d.ready() {
			s.clearDoubts(now, d)
			return
		}
	}
}

// clearIdleDoubts has the decision module trust all workers that nothing speaks against. It tells whether there are
// such workers.
func (s *service) clearIdleDoubts(now time.Duration) bool {
	if now-s.renewedAt < renewSpan {
		return false
	}
	var trusted []*destination
	for _, d := range s.destinations {
		if d.ready() && d.flying < d.limit && now >= d.avoidUntil {
			trusted = append(trusted, d)
		}
	}
	if len(trusted) == 0 {
		return false
	}
	s.renewedAt = now
	s.clearDoubts(now, trusted...)
	return true
}

// clearDoubts tells the decision module of a restart, upon which it forgets what it held against the workers.
func (s *service) clearDoubts(now time.Duration, doubted ...*destination) {
	if s.decider == nil {
		return
	}
	for _, d := range doubted {
		d.renewed = now
	}
	s.decider.listChanged(doubted)
}

// note learns from an attempt's verdict.
func (s *service) note(d *destination, v verdict) {
	wasDown := s.window.down
	s.learn(d, v)
	if s.window.down != wasDown {
		s.engine.logger.Info("service availability changed", zap.String("service", s.definition.Name),
			zap.Bool("down", s.window.down), zap.Int("ready", s.readyCount()))
	}
}

func (s *service) learn(d *destination, v verdict) {
	now := s.engine.now()
	switch v {
	case verdictCompleted, verdictRejected, verdictFailed, verdictRunning:
		d.answered()
		s.window.answered(s.limit())
	case verdictFull:
		d.troubled(now)
		s.window.full()
		s.window.failed(now, s.readyCount(), s.engine.random)
	case verdictOverdue:
		s.window.full()
	case verdictThrottled:
		s.throttle(d, now)
	case verdictUnreachable, verdictUncertain, verdictTimedOut:
		d.troubled(now)
		s.window.failed(now, s.readyCount(), s.engine.random)
	case verdictWrongWorker:
		d.leaving.Store(true)
		d.wrongUntil = now + wrongSpan
		if s.decider != nil {
			s.decider.listChanged([]*destination{d})
		}
	}
}

// throttle keeps messages back after a worker said that it gets too many: from all workers where they share a ceiling.
func (s *service) throttle(d *destination, now time.Duration) {
	if s.definition.RateLimitPerSecond > 0 || d.static {
		s.window.throttled(now, s.engine.random)
		return
	}
	d.avoidUntil = now + throttledPause
	s.window.failed(now, s.readyCount(), s.engine.random)
}
