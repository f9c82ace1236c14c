package delivery

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

func TestTargetsAreWrittenAsTheyCame(t *testing.T) {
	for _, target := range []string{"/", "/a/b", "/a%2Fb?x=1&y=%20", "/a?", "//a/b", "//a//b?q", "//a%2fb?", "/a b\u00e9", "*"} {
		assert.Equal(t, targetURL("10.0.0.1:80", target).RequestURI(), target)
	}
}

func TestKeepAliveTimeouts(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "timeout=5": 5 * time.Second, "max=3, Timeout = 1.5": 1500 * time.Millisecond,
		"timeout=-1": 0, "timeout=x": 0, "timeout": 0} {
		assert.Equal(t, keepAliveOf(http.Header{headerKeepAlive: {text}}), want, text)
	}
}

func TestTokenBucket(t *testing.T) {
	var bucket tokenBucket
	now := time.Second
	assert.Assert(t, bucket.take(now), "without a ceiling there is always a token")
	bucket.setCeiling(now, 100, 2) // 46 a second, of which 3 may be saved up
	assert.Assert(t, bucket.take(now))
	assert.Assert(t, !bucket.take(now))
	assert.Assert(t, bucket.wait(now) <= time.Second/46+time.Millisecond)
	now += time.Minute
	for range largestBurst {
		assert.Assert(t, bucket.take(now))
	}
	assert.Assert(t, !bucket.take(now))
	bucket.setCeiling(now, 100, 100) // 0.92 a second
	assert.Assert(t, bucket.wait(now) > time.Second)
	bucket.refund()
	assert.Assert(t, bucket.take(now))
}

func TestWindow(t *testing.T) {
	var w window
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, w.capacity(0), 0)
	assert.Equal(t, w.capacity(10), 10)
	for range 4 {
		w.full()
	}
	assert.Equal(t, w.capacity(10), 6)
	assert.Equal(t, w.capacity(20), 16)
	for range 20 {
		w.failed(time.Second, 5, random)
	}
	assert.Equal(t, w.capacity(20), 1)
	assert.Assert(t, w.resumeAt > time.Second && w.resumeAt <= time.Second+100*time.Millisecond)
	w.answered(20)
	assert.Equal(t, w.capacity(20), 3)
	for range 30 {
		w.answered(20)
	}
	assert.Equal(t, w.capacity(20), 20)
}

func TestChainsKeepTheSequence(t *testing.T) {
	q := newQueue()
	entryOf := func(sequence uint64) *entry {
		return &entry{message: &message.Message{Sequence: sequence, OrderKey: "k"}}
	}
	first, second, third := entryOf(1), entryOf(2), entryOf(3)
	for _, en := range []*entry{third, first, second} {
		q.link(en)
	}
	assert.Assert(t, first.chain.first(first))
	assert.Assert(t, q.unlink(second) == nil)
	assert.Assert(t, q.unlink(first) == third)
	third.placement = withDecider
	early := entryOf(0)
	q.link(early)
	assert.Assert(t, third.chain.first(third), "one that is out stays the first")
	assert.Assert(t, q.unlink(third) == early)
	assert.Assert(t, q.unlink(early) == nil)
	assert.Equal(t, len(q.chains)+len(q.partitions)+q.size, 0)
}

func TestWorkerNumbersThatCollide(t *testing.T) {
	all := newDestinations(Options{})
	all.byNumber[numberOf("i-2")] = all.add("i-1", cluster.Worker{ID: "i-1"})
	assert.Equal(t, all.add("i-2", cluster.Worker{ID: "i-2"}).number, numberOf("i-2")+1)
}

// After an outage the chains with few messages are emptied first, but nothing is passed by what came much later.
func TestLateMessagesRankByTheirFollowers(t *testing.T) {
	q := newQueue()
	l := newLane("r")
	l.route = &configuration.Route{Name: "r", StartTarget: time.Second}
	sequence := uint64(0)
	submit := func(key string, due time.Duration) {
		sequence++
		en := &entry{message: &message.Message{Sequence: sequence, OrderKey: key}, due: due, expires: never}
		q.link(en)
		if en.chain.first(en) {
			l.add(en, time.Minute)
		}
	}
	for range 100 {
		submit("long", 0)
	}
	submit("pair", time.Second)
	submit("pair", time.Second)
	submit("single", 2*time.Second)
	submit("much later", longestRankDelay+time.Second)
	l.splitLate(time.Minute)
	var order []string
	for en := l.late.first(); en != nil; en = l.late.first() {
		order = append(order, en.message.OrderKey)
		l.late.remove(en)
	}
	assert.DeepEqual(t, order, []string{"single", "pair", "long", "much later"})
}

func TestTurnsLookAtServicesThatNeedIt(t *testing.T) {
	var a agenda
	services := make([]*service, 100)
	for i := range services {
		services[i] = &service{lookAt: never, lookIndex: -1}
		a.schedule(services[i], time.Duration(i+1)*time.Second)
	}
	assert.Equal(t, a.next(0), time.Second)
	assert.Equal(t, len(a.take(0)), 0)
	a.touch(services[50])
	a.touch(services[50])
	assert.Equal(t, a.next(0), time.Duration(0))
	assert.Equal(t, len(a.take(0)), 1)
	assert.Equal(t, len(a.take(10*time.Second)), 10)
	a.schedule(services[0], 90*time.Second)
	a.schedule(services[10], 5*time.Second)
	a.forget(services[11])
	assert.Equal(t, a.next(10*time.Second), 5*time.Second)
	assert.Equal(t, len(a.take(time.Hour)), 90)
	assert.Equal(t, a.next(time.Hour), never)
}

// A service that stays down is tried ever more seldom, and found within a small part of its outage.
func TestPausesGrowWithTheOutage(t *testing.T) {
	var w window
	random := rand.New(rand.NewPCG(1, 1))
	longest := map[time.Duration]time.Duration{
		time.Second: 100 * time.Millisecond, time.Minute: 750 * time.Millisecond, time.Hour: 45 * time.Second,
		24 * time.Hour: 75 * time.Second,
	}
	for range 20 {
		w.failed(time.Second, 1, random)
	}
	for outage, limit := range longest {
		now := time.Second + outage
		for range 20 {
			w.failed(now, 1, random)
		}
		assert.Assert(t, w.resumeAt > now && w.resumeAt-now <= limit, "after %v: %v", outage, w.resumeAt-now)
	}
	w.answered(10)
	w.failed(48*time.Hour, 1, random)
	assert.Assert(t, !w.down)
}
