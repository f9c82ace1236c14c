package replication

import (
	"math/rand/v2"
	"time"
)

// responseLogSize is how many responses to heartbeats are remembered with their times. A primary echoes the newest
// one that it has received; while responses are lost, more of them follow it.
const responseLogSize = 64

// responseLog numbers the responses to heartbeats and remembers when the latest were sent. The numbers of a process
// begin at random, so that a heartbeat to an earlier process of the same member echoes none of them.
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

// sentAt returns when the response with a number was sent, and false where that is not known.
func (l *responseLog) sentAt(number uint64) (time.Time, bool) {
	at, known := l.times[number]
	return at, known
}
