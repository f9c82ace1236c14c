// Package planner answers three questions about a described fleet and load by simulating days of it with fleetsim: what
// breaks first, how many workers a goal needs, and what losing a zone costs. It also fits descriptions to captures of real
// dispatchers. The package does no I/O and reads no clock; its answers depend on the descriptions and the seed, and not on
// how many cores it is given.
//
// Start reading at Goal, the language of goals, and at Planner.evaluate, which judges one fleet and load. The questions are
// in breaking_point.go, sizing.go and zone_loss.go; FitCapture begins the fitting.
package planner

import (
	"cmp"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"gladepick/internal/dispatcher/fleetsim"
)

// Options tell how sure answers must be and how long the search may take.
type Options struct {
	Seed        uint64
	Confidence  float64              // that a goal holds where an answer says so; 0.95 if 0
	MaxDays     int                  // simulated for one evaluation at most; 16 if 0
	Parallelism int                  // days simulated at a time; one for each core if 0
	MaxFactor   float64              // of the fleet or the load, at most; 16 if 0
	OnDayPlayed func(days int)       // called after each day, by several goroutines
	Stop        func() bool          // asked whether to end early, by several goroutines
	OnProgress  func(string, ...any) // called with what is evaluated next
}

// ErrStopped is returned by a search that Options.Stop has ended early, with what was known by then.
var ErrStopped = errors.New("stopped")

// daysPerBatch does not depend on the number of cores, so that answers do not either.
const daysPerBatch = 4

// seedStride keeps the days of different seeds apart.
const seedStride = 1_000_003

// Planner answers questions about one fleet, load and goal. Its methods are called one at a time; each simulates its days on
// Options.Parallelism goroutines.
type Planner struct {
	Fleet *fleetsim.Fleet
	Load  *fleetsim.Load
	Goal  *Goal
	Options
	daysPlayed atomic.Int64
	cache      map[string]*evaluation // by the descriptions' text
}

// New returns a planner with defaults filled in. It checks the goal's names against the fleet, and the options.
func New(f *fleetsim.Fleet, l *fleetsim.Load, g *Goal, o Options) (*Planner, error) {
	if err := g.Check(f); err != nil {
		return nil, err
	}
	o.Confidence = cmp.Or(o.Confidence, 0.95)
	o.MaxDays, o.MaxFactor = cmp.Or(o.MaxDays, 16), cmp.Or(o.MaxFactor, 16)
	o.Parallelism = cmp.Or(o.Parallelism, runtime.GOMAXPROCS(0))
	if o.MaxDays < 2 || o.MaxDays > 10000 {
		return nil, fmt.Errorf("%d days for a verdict are not in 2 to 10000", o.MaxDays)
	}
	if !(o.Confidence > 0.5 && o.Confidence < 1) {
		return nil, fmt.Errorf("a confidence of %v is not in 0.5 to 1", o.Confidence)
	}
	return &Planner{Fleet: f, Load: l, Goal: g, Options: o, cache: map[string]*evaluation{}}, nil
}

// DaysPlayed returns how many days have been simulated so far.
func (p *Planner) DaysPlayed() int { return int(p.daysPlayed.Load()) }

func (p *Planner) stopped() bool { return p.Stop != nil && p.Stop() }

// simulateDays simulates count days of one description, each with its own seed. The same days of another description have
// the same seeds, so the same clients meet every fleet (common random numbers).
func (p *Planner) simulateDays(f *fleetsim.Fleet, l *fleetsim.Load, first, count int) ([]*fleetsim.Result, error) {
	out, errs := make([]*fleetsim.Result, count), make([]error, count)
	var all sync.WaitGroup
	slots := make(chan bool, p.Parallelism)
	for i := range count {
		all.Add(1)
		slots <- true
		go func() {
			defer func() { <-slots; all.Done() }()
			if out[i], errs[i] = fleetsim.Simulate(f, l, p.Seed*seedStride+uint64(first+i), p.Stop); errs[i] == nil {
				p.daysPlayed.Add(1)
				if p.OnDayPlayed != nil {
					p.OnDayPlayed(1)
				}
			}
		}()
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if p.stopped() {
		return nil, ErrStopped
	}
	return out, nil
}

func (p *Planner) reportProgress(format string, v ...any) {
	if p.OnProgress != nil {
		p.OnProgress(format, v...)
	}
}

// baseFleet returns the fleet without its spare workers, or with them.
func (p *Planner) baseFleet(spares bool) *fleetsim.Fleet {
	f := *p.Fleet
	f.Workers = slices.DeleteFunc(slices.Clone(f.Workers), func(g fleetsim.WorkerGroup) bool { return g.Spare && !spares })
	return &f
}

// scaledLoad returns the load with all rates multiplied.
func (p *Planner) scaledLoad(x float64) *fleetsim.Load {
	l := *p.Load
	l.Factor = cmp.Or(l.Factor, 1) * x
	return &l
}
