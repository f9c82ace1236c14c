package scale

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"ivyfold/internal/cluster"
)

// tracker notes when each hollow dispatcher got each version of the configuration, and when the control group declared
// a dispatcher lost.
type tracker struct {
	mutex   sync.Mutex
	issued  map[uint64]time.Time // when each change was sent to the control group
	lags    []time.Duration      // of each change at each dispatcher that ran when it was issued
	starts  []time.Duration      // from the start of a dispatcher to its first configuration
	killed  map[string]time.Time // dispatchers whose loss has not been declared
	losses  []time.Duration      // from the end of a dispatcher to the declaration
	running map[*runOfHollow]struct{}
}

// runOfHollow is the time from a start of a hollow dispatcher to its end.
type runOfHollow struct {
	began   time.Time
	version uint64 // of the configuration it has
}

func newTracker() *tracker {
	return &tracker{
		issued: map[uint64]time.Time{}, killed: map[string]time.Time{}, running: map[*runOfHollow]struct{}{},
	}
}

func (t *tracker) begin(at time.Time) *runOfHollow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run := &runOfHollow{began: at}
	t.running[run] = struct{}{}
	return run
}

func (t *tracker) end(run *runOfHollow) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.running, run)
}

// issue notes that a change is sent to the control group now.
func (t *tracker) issue(version uint64, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.issued[version] = at
}

// reached notes that a dispatcher has a version. All changes up to it are in force there.
func (t *tracker) reached(run *runOfHollow, version uint64, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if version <= run.version {
		return
	}
	if run.version == 0 {
		t.starts = append(t.starts, at.Sub(run.began))
	}
	for each := run.version + 1; each <= version; each++ {
		if issued, found := t.issued[each]; found && issued.After(run.began) {
			t.lags = append(t.lags, at.Sub(issued))
		}
	}
	run.version = version
}

// behind counts the running dispatchers that have not got a version.
func (t *tracker) behind(version uint64) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for run := range t.running {
		if run.version < version {
			count++
		}
	}
	return count
}

// lost notes the end of a dispatcher whose loss is to be declared.
func (t *tracker) lost(name string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.killed[name] = at
}

// observe looks in a cluster table for the losses that are waited for.
func (t *tracker) observe(table *cluster.Table, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for name, since := range t.killed {
		if entry := table.Store(name); entry != nil && entry.State == cluster.StoreDown {
			t.losses = append(t.losses, at.Sub(since))
			delete(t.killed, name)
		}
	}
}

// awaits tells whether the loss of a dispatcher has not been declared yet.
func (t *tracker) awaits(name string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	_, found := t.killed[name]
	return found
}

// undeclared counts the losses that have not been declared.
func (t *tracker) undeclared() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.killed)
}

// describeUndeclared names the losses that have not been declared, and what a table says of them.
func (t *tracker) describeUndeclared(table *cluster.Table) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var parts []string
	for name, since := range t.killed {
		state := cluster.StoreState("not listed")
		if entry := table.Store(name); entry != nil {
			state = entry.State
		}
		parts = append(parts, fmt.Sprintf("%s, lost %v ago, is %s", name, time.Since(since).Round(time.Millisecond), state))
	}
	return strings.Join(parts, "; ")
}

// take returns the samples gathered so far and begins anew.
func (t *tracker) take() samples {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	taken := samples{lags: t.lags, starts: t.starts, losses: t.losses}
	t.lags, t.starts, t.losses = nil, nil, nil
	return taken
}

// samples are the durations that were measured in a phase.
type samples struct {
	lags   []time.Duration
	starts []time.Duration
	losses []time.Duration
}
