package replication

import (
	"math/rand/v2"
	"time"
)

// responseLogSize bounds the responses to heartbeats whose times are kept. A primary repeats the number of the newest one
// that it has; while it gets none, more are given than the one that it comes to repeat.
const responseLogSize = 64

// responseLog numbers the responses to heartbeats and remembers when the last of them were given. Numbers of a process begin
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
