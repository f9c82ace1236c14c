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
type primaryMonitor struct {
	mu sync.Mutex
	// heard is when something last came from the primary.
	lastContact time.Time
	// gone is set when the primary is known not to lead any more, until it is heard again.
	down bool
	// quietUntil is until when this process holds no election, because another one does.
	noElectionBefore time.Time
	// pledgedTo is the candidate that this witness has promised an epoch to, and does not abandon until pledgedUntil.
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

// markGone records that the primary is gone, unless it was heard after a moment.
func (p *primaryMonitor) markDown(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.lastContact.After(asOf) {
		p.down = true
	}
}

// silence returns for how long nothing has come from the primary, and whether it is known to be gone.
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

// heldBack returns for how long this process still holds no election.
func (p *primaryMonitor) electionDelay(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.noElectionBefore.Sub(now)
}

// pledge binds this witness to a candidate for a while. It holds no election of its own meanwhile.
func (p *primaryMonitor) reserveVote(candidate string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.voteReservedFor, p.voteReservedUntil = candidate, until
	if until.After(p.noElectionBefore) {
		p.noElectionBefore = until
	}
}

// pledgedElsewhere tells whether this witness is bound to another candidate.
func (p *primaryMonitor) voteReservedForOther(candidate string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.voteReservedFor != candidate && now.Before(p.voteReservedUntil)
}

// markCurrent records that this process knows all that was committed at a moment.
func (p *primaryMonitor) markUpToDate(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at.After(p.upToDateAt) {
		p.upToDateAt = at
	}
}

// numberAnswer returns the number of an answer to a heartbeat that is given now.
func (p *primaryMonitor) nextResponseNumber(now time.Time) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses.add(now)
}

// answeredAt returns when an answer was given, and false where that is not known.
func (p *primaryMonitor) respondedAt(number uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.responses.sentAt(number)
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

// answersRemembered bounds the answers to heartbeats whose times are kept. A primary repeats the number of the newest one
// that it has; while it gets none, more are given than the one that it comes to repeat.
const responseLogSize = 64

// answerLog numbers the answers to heartbeats and remembers when the last of them were given. Numbers of a process begin
// at random, so that a heartbeat to an earlier process of the member repeats none of them.
type responseLog struct {
	last  uint64
	times map[uint64]time.Time
}

func (l *responseLog) add(now time.Time) uint64 {
	if l.times == nil {
		l.last = rand.Uint64() >> 1
		l.times = make(map[uint64]time.Time, responseLogSize)
	}
	l.last++
	l.times[l.last] = now
	delete(l.times, l.last-responseLogSize)
	return l.last
}

func (l *responseLog) sentAt(number uint64) (time.Time, bool) {
	at, known := l.times[number]
	return at, known
}

// isRefused tells whether a call failed because nothing listens at the address.
func isConnectionRefused(err error) bool {
	return errors.Is(err, rpc.ErrNotSent) &&
		(errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET))
}
