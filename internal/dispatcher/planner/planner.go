// Package planner answers three questions about a described fleet and load by simulating days with fleetsim: which
// limit breaks first as the load grows, how many workers a goal needs, and what the loss of a zone costs. It also fits
// descriptions to captures of real dispatchers. The package does no I/O and reads no clock; its answers depend on the
// descriptions and the seed, but not on the number of cores.
//
// Start reading at Goal, the syntax of goals, and at Planner.evaluate, which tests one fleet and load against a goal.
// The three questions are in breaking_point.go, sizing.go and zone_loss.go. FitCapture is the entry point of the
// fitting.
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

// Options sets the confidence of the answers and the limits of the search.
type Options struct {
	Seed           uint64
	Confidence     float64              // that a goal holds if an answer says so; 0.95 if 0
	MaxDays        int                  // most days simulated of one clause of the goal or one zone loss; 16 if 0
	Parallelism    int                  // days simulated at a time; one for each core if 0
	MaxFactor      float64              // greatest factor by which the fleet or the load is multiplied; 16 if 0
	OnDaySimulated func(days int)       // called after each simulated day, from several goroutines
	Stop           func() bool          // reports whether to end the search early; called from several goroutines
	OnProgress     func(string, ...any) // called with a format and values that describe the next evaluation
}

// ErrStopped is returned by a search that Options.Stop has ended early, together with the results found by then.
var ErrStopped = errors.New("stopped")

// daysPerBatch is the number of days simulated between two checks of whether a clause is decided. It does not depend on
// the number of cores, so that answers do not either.
const daysPerBatch = 4

// seedStride is the difference between the first days' seeds of two neighbouring Options.Seed. It is above any MaxDays,
// so that no day is shared.
const seedStride = 1_000_003

// Planner answers questions about one fleet, load and goal. Its methods must not be called concurrently; each simulates
// its days on Options.Parallelism goroutines.
type Planner struct {
	Fleet *fleetsim.Fleet
	Load  *fleetsim.Load
	Goal  *Goal
	Options
	daysSimulated atomic.Int64
	cache         map[string]*evaluation // by the printed descriptions
}

// New returns a planner with the defaults of the options filled in. It returns an error if the goal has names that the
// fleet lacks, or if an option is out of range.
func New(fleet *fleetsim.Fleet, load *fleetsim.Load, goal *Goal, options Options) (*Planner, error) {
	if err := goal.Check(fleet); err != nil {
		return nil, err
	}
	options.Confidence = cmp.Or(options.Confidence, 0.95)
	options.MaxDays, options.MaxFactor = cmp.Or(options.MaxDays, 16), cmp.Or(options.MaxFactor, 16)
	options.Parallelism = cmp.Or(options.Parallelism, runtime.GOMAXPROCS(0))
	if options.MaxDays < 2 || options.MaxDays > 10000 {
		return nil, fmt.Errorf("the number of days for one evaluation must be 2 to 10000, not %d", options.MaxDays)
	}
	if !(options.Confidence > 0.5 && options.Confidence < 1) {
		return nil, fmt.Errorf("the confidence must be between 0.5 and 1, not %v", options.Confidence)
	}
	return &Planner{Fleet: fleet, Load: load, Goal: goal, Options: options, cache: map[string]*evaluation{}}, nil
}

// DaysSimulated returns how many days have been simulated so far.
func (p *Planner) DaysSimulated() int { return int(p.daysSimulated.Load()) }

func (p *Planner) stopped() bool { return p.Stop != nil && p.Stop() }

// simulateDays simulates count days of one description, each with its own seed. A day has the same seed in all
// descriptions, so that every fleet gets the same requests (common random numbers).
func (p *Planner) simulateDays(fleet *fleetsim.Fleet, load *fleetsim.Load, first, count int) ([]*fleetsim.Result, error) {
	results, errs := make([]*fleetsim.Result, count), make([]error, count)
	var running sync.WaitGroup
	slots := make(chan bool, p.Parallelism)
	for i := range count {
		running.Add(1)
		slots <- true
		go func() {
			defer func() { <-slots; running.Done() }()
			if results[i], errs[i] = fleetsim.Simulate(fleet, load, p.Seed*seedStride+uint64(first+i), p.Stop); errs[i] == nil {
				p.daysSimulated.Add(1)
				if p.OnDaySimulated != nil {
					p.OnDaySimulated(1)
				}
			}
		}()
	}
	running.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if p.stopped() {
		return nil, ErrStopped
	}
	return results, nil
}

func (p *Planner) reportProgress(format string, values ...any) {
	if p.OnProgress != nil {
		p.OnProgress(format, values...)
	}
}

// baseFleet returns the fleet without its spare workers, or with them.
func (p *Planner) baseFleet(spares bool) *fleetsim.Fleet {
	fleet := *p.Fleet
	fleet.Workers = slices.DeleteFunc(slices.Clone(fleet.Workers), func(g fleetsim.WorkerGroup) bool { return g.Spare && !spares })
	return &fleet
}

// scaledLoad returns the load with all rates multiplied by a factor.
func (p *Planner) scaledLoad(factor float64) *fleetsim.Load {
	load := *p.Load
	load.Factor = cmp.Or(load.Factor, 1) * factor
	return &load
}
