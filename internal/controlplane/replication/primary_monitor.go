package replication

import (
	"sync"
	"time"
)

// primaryMonitor is what a backup knows of the primary's life.
type primaryMonitor struct {
	mu sync.Mutex
	// heard is when something last came from the primary.
	lastContact time.Time
	// gone is set when the primary is known not to lead any more, until it is heard again.
	down bool
	// noElectionBefore is until when this process holds no election, because another one does.
	noElectionBefore time.Time
	// voteReservedFor is the candidate that this witness has promised an epoch to, and does not abandon until voteReservedUntil.
	voteReservedFor   string
	voteReservedUntil time.Time
	// current is a time at which the primary led and this process has known since all that was committed then.
	upToDateAt time.Time
	responses  responseLog
}

func (p *primaryMonitor) recordContact(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact = now
	p.down = false
}

// markDown records that the primary is gone, unless it was heard after a moment.
func (p *primaryMonitor) markDown(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastContact.After(asOf) {
		p.down = true
	}
}

// sinceContact returns for how long nothing has come from the primary, and whether it is known to be gone.
func (p *primaryMonitor) sinceContact(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastContact), p.down
}

func (p *primaryMonitor) delayElection(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noElectionBefore = until
}

// electionDelay returns for how long this process still holds no election.
func (p *primaryMonitor) electionDelay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noElectionBefore.Sub(now)
}

// reserveVote binds this witness to a candidate for a while. It holds no election of its own meanwhile.
func (p *primaryMonitor) reserveVote(candidate string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voteReservedFor, p.voteReservedUntil = candidate, until
	if until.After(p.noElectionBefore) {
		p.noElectionBefore = until
	}
}

// voteReservedForOther reports whether this witness is bound to another candidate.
func (p *primaryMonitor) voteReservedForOther(candidate string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voteReservedFor != candidate && now.Before(p.voteReservedUntil)
}

// markUpToDate records that this process knows all that was committed at a moment.
func (p *primaryMonitor) markUpToDate(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.upToDateAt) {
		p.upToDateAt = at
	}
}

func (p *primaryMonitor) clearUpToDate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upToDateAt = time.Time{}
}

func (p *primaryMonitor) upToDate(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.upToDateAt.IsZero() && now.Sub(p.upToDateAt) < limit
}

// nextResponseNumber returns the number of a response to a heartbeat that is given now.
func (p *primaryMonitor) nextResponseNumber(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses.add(now)
}

// respondedAt returns when a response was given, and false where that is not known.
func (p *primaryMonitor) respondedAt(number uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses.sentAt(number)
}
