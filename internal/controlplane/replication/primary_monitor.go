package replication

import (
	"sync"
	"time"
)

// primaryMonitor holds what a backup knows about the primary. The backup uses it to decide whether to campaign, whether
// to vote, and whether its own state may be read. mu guards the other fields.
type primaryMonitor struct {
	mu sync.Mutex
	// lastContact is when the primary was last heard from.
	lastContact time.Time
	// down is set while the primary is known not to lead any more. It is reset when the primary is heard from again.
	down bool
	// noElectionBefore is the earliest time at which this process may campaign. It is set when another process
	// campaigns, and when this process has resigned.
	noElectionBefore time.Time
	// voteReservedFor is the candidate that this witness has promised an epoch to. It votes for no other candidate
	// before voteReservedUntil.
	voteReservedFor   string
	voteReservedUntil time.Time
	// upToDateAt is a time at which the primary led. This process has applied all that was committed then.
	upToDateAt time.Time
	responses  responseLog
}

// recordContact records that the primary was heard from.
func (p *primaryMonitor) recordContact(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastContact = now
	p.down = false
}

// markDown records that the primary is down, unless it has been heard from after the given time.
func (p *primaryMonitor) markDown(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastContact.After(asOf) {
		p.down = true
	}
}

// sinceContact returns the time since the primary was last heard from, and whether it is known to be down.
func (p *primaryMonitor) sinceContact(now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.lastContact), p.down
}

// delayElection keeps this process from campaigning before the given time.
func (p *primaryMonitor) delayElection(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noElectionBefore = until
}

// electionDelay returns how long this process must wait before it may campaign. The delay is not positive if it may
// campaign now.
func (p *primaryMonitor) electionDelay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noElectionBefore.Sub(now)
}

// reserveVote reserves this witness's vote for a candidate until the given time. The process does not campaign itself
// before then.
func (p *primaryMonitor) reserveVote(candidate string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voteReservedFor, p.voteReservedUntil = candidate, until
	if until.After(p.noElectionBefore) {
		p.noElectionBefore = until
	}
}

// voteReservedForOther reports whether the vote is reserved for another candidate.
func (p *primaryMonitor) voteReservedForOther(candidate string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voteReservedFor != candidate && now.Before(p.voteReservedUntil)
}

// markUpToDate records that this process has applied all that was committed at a time.
func (p *primaryMonitor) markUpToDate(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.upToDateAt) {
		p.upToDateAt = at
	}
}

// clearUpToDate records that this process's state may be out of date.
func (p *primaryMonitor) clearUpToDate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upToDateAt = time.Time{}
}

// upToDate reports whether this process has applied all that was committed at some time less than limit ago.
func (p *primaryMonitor) upToDate(now time.Time, limit time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.upToDateAt.IsZero() && now.Sub(p.upToDateAt) < limit
}

// nextResponseNumber returns the number of a response to a heartbeat that is sent now.
func (p *primaryMonitor) nextResponseNumber(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses.add(now)
}

// respondedAt returns when the response with a number was sent, and false if that is not known.
func (p *primaryMonitor) respondedAt(number uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses.sentAt(number)
}
