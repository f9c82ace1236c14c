package replication

import (
	"math/rand/v2"
	"time"
)

// responseLogSize is the number of responses to heartbeats whose times are kept. A primary echoes the newest response
// that it has received. The log must still hold this response after newer ones, which were lost, have been added.
const responseLogSize = 64

// responseLog numbers the responses to heartbeats and keeps the times at which the latest were sent. Each process
// starts at a random number, so that a heartbeat that was meant for an earlier process of the same member echoes none
// of its numbers.
type responseLog struct {
	last  uint64
	times map[uint64]time.Time
}

// add returns the number of a response that is sent now.
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

// sentAt returns when the response with a number was sent, and false if that is not known.
func (l *responseLog) sentAt(number uint64) (time.Time, bool) {
	at, known := l.times[number]
	return at, known
}
