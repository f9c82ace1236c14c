package replication

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"ivyfold/internal/rpc"
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
	// current is when this process last knew all that was committed.
	current time.Time
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

func (p *presence) markCurrent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = now
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

// isRefused tells whether a call failed because nothing listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, rpc.ErrNotSent) &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}
