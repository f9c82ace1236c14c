package decision

import (
	"testing"
	"time"
)

// Each failed call to discovery once set two timers, so that calls doubled with every failure.
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
	// A failed call allows four times the ask-within time; calls come well inside, and not in a storm.
	if longest := 40.0; float64(calls) < 60/longest || calls > 60 {
		t.Errorf("%d calls in a minute", calls)
	}
	c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(4)})
	for range 6000 {
		c.advance(10 * time.Millisecond)
	}
	if c.calls != calls {
		t.Errorf("%d calls while the watch holds", c.calls-calls)
	}
}

// Dispatchers that start together must not call discovery together.
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
