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
	assert.Assert(t, bucket.tryTake(now), "without a ceiling there is always a token")
	bucket.setRate(now, 100, 2) // 46 a second, of which 3 may be saved up
	assert.Assert(t, bucket.tryTake(now))
	assert.Assert(t, !bucket.tryTake(now))
	assert.Assert(t, bucket.wait(now) <= time.Second/46+time.Millisecond)
	now += time.Minute
	for range maxBurst {
		assert.Assert(t, bucket.tryTake(now))
	}
	assert.Assert(t, !bucket.tryTake(now))
	bucket.setRate(now, 100, 100) // 0.92 a second
	assert.Assert(t, bucket.wait(now) > time.Second)
	bucket.refund()
	assert.Assert(t, bucket.tryTake(now))
}

func TestWindow(t *testing.T) {
	var w concurrencyLimit
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, w.allowed(0), 0)
	assert.Equal(t, w.allowed(10), 10)
	for range 4 {
		w.onRejection()
	}
	assert.Equal(t, w.allowed(10), 6)
	assert.Equal(t, w.allowed(20), 16)
	for range 20 {
		w.onFailure(time.Second, 5, random)
	}
	assert.Equal(t, w.allowed(20), 1)
	assert.Assert(t, w.resumeAt > time.Second && w.resumeAt <= time.Second+100*time.Millisecond)
	w.onAnswer(20)
	assert.Equal(t, w.allowed(20), 3)
	for range 30 {
		w.onAnswer(20)
	}
	assert.Equal(t, w.allowed(20), 20)
}

func TestChainsKeepTheSequence(t *testing.T) {
	q := newBacklog()
	entryOf := func(sequence uint64) *queuedMessage {
		return &queuedMessage{message: &message.Message{Sequence: sequence, OrderKey: "k"}}
	}
	first, second, third := entryOf(1), entryOf(2), entryOf(3)
	for _, queued := range []*queuedMessage{third, first, second} {
		q.link(queued)
	}
	assert.Assert(t, first.orderGroup.first(first))
	assert.Assert(t, q.unlink(second) == nil)
	assert.Assert(t, q.unlink(first) == third)
	third.state = dispatched
	early := entryOf(0)
	q.link(early)
	assert.Assert(t, third.orderGroup.first(third), "one that is out stays the first")
	assert.Assert(t, q.unlink(third) == early)
	assert.Assert(t, q.unlink(early) == nil)
	assert.Equal(t, len(q.orderGroups)+len(q.partitions)+q.size, 0)
}

func TestWorkerNumbersThatCollide(t *testing.T) {
	all := newEndpointSet(Options{})
	all.byWorkerID[stableHash("i-2")] = all.add("i-1", cluster.Worker{ID: "i-1"})
	assert.Equal(t, all.add("i-2", cluster.Worker{ID: "i-2"}).workerID, stableHash("i-2")+1)
}

// After an outage the chains with few messages are emptied first, but nothing is passed by what came much later.
func TestLateMessagesRankByTheirFollowers(t *testing.T) {
	q := newBacklog()
	l := newRouteQueue("r")
	l.route = &configuration.Route{Name: "r", StartTarget: time.Second}
	sequence := uint64(0)
	submit := func(key string, due time.Duration) {
		sequence++
		queued := &queuedMessage{message: &message.Message{Sequence: sequence, OrderKey: key}, due: due, expires: never}
		q.link(queued)
		if queued.orderGroup.first(queued) {
			l.add(queued, time.Minute)
		}
	}
	for range 100 {
		submit("long", 0)
	}
	submit("pair", time.Second)
	submit("pair", time.Second)
	submit("single", 2*time.Second)
	submit("much later", longestRankDelay+time.Second)
	l.moveOverdue(time.Minute)
	var order []string
	for queued := l.overdue.first(); queued != nil; queued = l.overdue.first() {
		order = append(order, queued.message.OrderKey)
		l.overdue.remove(queued)
	}
	assert.DeepEqual(t, order, []string{"single", "pair", "long", "much later"})
}

func TestTurnsLookAtServicesThatNeedIt(t *testing.T) {
	var a serviceSchedule
	services := make([]*service, 100)
	for i := range services {
		services[i] = &service{nextRun: never, scheduleIndex: -1}
		a.setTime(services[i], time.Duration(i+1)*time.Second)
	}
	assert.Equal(t, a.nextTime(0), time.Second)
	assert.Equal(t, len(a.takeDue(0)), 0)
	a.markDirty(services[50])
	a.markDirty(services[50])
	assert.Equal(t, a.nextTime(0), time.Duration(0))
	assert.Equal(t, len(a.takeDue(0)), 1)
	assert.Equal(t, len(a.takeDue(10*time.Second)), 10)
	a.setTime(services[0], 90*time.Second)
	a.setTime(services[10], 5*time.Second)
	a.remove(services[11])
	assert.Equal(t, a.nextTime(10*time.Second), 5*time.Second)
	assert.Equal(t, len(a.takeDue(time.Hour)), 90)
	assert.Equal(t, a.nextTime(time.Hour), never)
}

// A service that stays down is tried ever more seldom, and found within a small part of its outage.
func TestPausesGrowWithTheOutage(t *testing.T) {
	var w concurrencyLimit
	random := rand.New(rand.NewPCG(1, 1))
	longest := map[time.Duration]time.Duration{
		time.Second: 100 * time.Millisecond, time.Minute: 750 * time.Millisecond, time.Hour: 45 * time.Second,
		24 * time.Hour: 75 * time.Second,
	}
	for range 20 {
		w.onFailure(time.Second, 1, random)
	}
	for outage, limit := range longest {
		now := time.Second + outage
		for range 20 {
			w.onFailure(now, 1, random)
		}
		assert.Assert(t, w.resumeAt > now && w.resumeAt-now <= limit, "after %v: %v", outage, w.resumeAt-now)
	}
	w.onAnswer(10)
	w.onFailure(48*time.Hour, 1, random)
	assert.Assert(t, !w.down)
}
