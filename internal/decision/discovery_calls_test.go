package decision

import (
	"testing"
	"time"
)

// A failed call to discovery must set one timer only. Two timers doubled the number of calls with every
// failure.
func TestFailedDiscoveryCallsDoNotMultiply(t *testing.T) {
	c := newChecker(t, testSettings(), 1)
	c.event(Event{Kind: EventList, List: ListCached, Entries: testWorkers(4)})
	calls := 0
	for range 6000 {
		c.advance(10 * time.Millisecond)
		if c.calls > calls {
			calls = c.calls
			c.event(Event{Kind: EventList, List: ListFailed})
		}
	}
	// After a failed call, four times MaxDiscoverySilence is allowed. The calls must come well within that,
	// but not all at once.
	if longest := 40.0; float64(calls) < 60/longest || calls > 60 {
		t.Errorf("%d calls per minute", calls)
	}
	c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(4)})
	for range 6000 {
		c.advance(10 * time.Millisecond)
	}
	if c.calls != calls {
		t.Errorf("%d calls while a watch is active", c.calls-calls)
	}
}

// Dispatchers that start together must not call discovery at the same time.
func TestFirstDiscoveryCallsAreSpread(t *testing.T) {
	at := map[time.Duration]int{}
	for seed := range uint64(200) {
		d := newTestDispatcher(t, testSettings(), seed)
		for _, a := range d.Handle(time.Second, &Event{Kind: EventList, List: ListCached, Entries: testWorkers(4)}, nil) {
			if a.Kind == SetTimer {
				at[a.Delay.Truncate(100*time.Millisecond)]++
				if a.Delay > testSettings().MaxDiscoverySilence {
					t.Errorf("first call after %v, later than the limit", a.Delay)
				}
			}
		}
	}
	for when, n := range at {
		if n > 30 {
			t.Errorf("%d of 200 dispatchers call within 100 ms of %v", n, when)
		}
	}
}
