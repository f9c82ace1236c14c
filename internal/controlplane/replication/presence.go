package replication

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"gladepick/internal/rpc"
)

// presence is what a backup knows of the primary's life.
type presence struct {
	mu sync.Mutex
	// heard is when something last came from the primary.
	heard time.Time
	// gone is set when the primary is known not to lead any more, until it is heard again.
	gone bool
	// quietUntil is until when this process holds no election, because another one does.
	quietUntil time.Time
	// pledgedTo is the candidate that this witness has promised an epoch to, and does not abandon until pledgedUntil.
	pledgedTo    string
	pledgedUntil time.Time
	// current is a time at which the primary led and this process has known since all that was committed then.
	current time.Time
	answers answerLog
}

func (p *presence) heardFromPrimary(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard = now
	p.gone = false
}

// markGone records that the primary is gone, unless it was heard after a moment.
func (p *presence) markGone(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.heard.After(asOf) {
		p.gone = true
	}
}

// silence returns for how long nothing has come from the primary, and whether it is known to be gone.
func (p *presence) silence(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heard), p.gone
}

func (p *presence) holdBack(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.quietUntil = until
}

// heldBack returns for how long this process still holds no election.
func (p *presence) heldBack(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quietUntil.Sub(now)
}

// pledge binds this witness to a candidate for a while. It holds no election of its own meanwhile.
func (p *presence) pledge(candidate string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pledgedTo, p.pledgedUntil = candidate, until
	if until.After(p.quietUntil) {
		p.quietUntil = until
	}
}

// pledgedElsewhere tells whether this witness is bound to another candidate.
func (p *presence) pledgedElsewhere(candidate string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pledgedTo != candidate && now.Before(p.pledgedUntil)
}

// markCurrent records that this process knows all that was committed at a moment.
func (p *presence) markCurrent(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.current) {
		p.current = at
	}
}

// numberAnswer returns the number of an answer to a heartbeat that is given now.
func (p *presence) numberAnswer(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers.add(now)
}

// answeredAt returns when an answer was given, and false where that is not known.
func (p *presence) answeredAt(number uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answers.at(number)
}

func (p *presence) forgetCurrent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = time.Time{}
}

func (p *presence) fresh(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.current.IsZero() && now.Sub(p.current) < limit
}

// answersRemembered bounds the answers to heartbeats whose times are kept. A primary repeats the number of the newest one
// that it has; while it gets none, more are given than the one that it comes to repeat.
const answersRemembered = 64

// answerLog numbers the answers to heartbeats and remembers when the last of them were given. Numbers of a process begin
// at random, so that a heartbeat to an earlier process of the member repeats none of them.
type answerLog struct {
	last  uint64
	times map[uint64]time.Time
}

func (l *answerLog) add(now time.Time) uint64 {
	if l.times == nil {
		l.last = rand.Uint64() >> 1
		l.times = make(map[uint64]time.Time, answersRemembered)
	}
	l.last++
	l.times[l.last] = now
	delete(l.times, l.last-answersRemembered)
	return l.last
}

func (l *answerLog) at(number uint64) (time.Time, bool) {
	at, known := l.times[number]
	return at, known
}

// isRefused tells whether a call failed because nothing listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, rpc.ErrNotSent) &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}
