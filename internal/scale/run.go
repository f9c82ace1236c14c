package scale

import (
	"context"
	"ivyfold/internal/ctxtime"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Target holds the daily figures that a run compresses.
type Target struct {
	ConfigurationChanges float64
	Restarts             float64
	Failures             float64
}

// DailyTarget is what the operators want the system to bear.
var DailyTarget = Target{ConfigurationChanges: 8200, Restarts: 420, Failures: 37}

// Options say what is run.
type Options struct {
	Sizes       []int // numbers of dispatchers, rising
	Zones       int
	Regions     int
	Routes      int           // of the configuration
	Calm        time.Duration // without any change
	Day         time.Duration // with the target's daily figures, compressed
	Compression float64       // how much faster than in the target things happen
	StormPart   float64       // part of the dispatchers that restart at once while the configuration changes
	Losses      int           // dispatchers that are ended one after another
	MemoryPart  float64       // part of the machine's memory that may be used at most
	NetworkOf   NetworkOf
	Logger      *zap.Logger
	Seed        uint64
}

const (
	stormChanges  = 10
	stormInterval = 500 * time.Millisecond
	secondsOfDay  = 86_400
)

// Result is what one size showed.
type Result struct {
	Dispatchers int
	Boot        time.Duration // from the first start of those that were added until all have a configuration
	Settled     bool          // the cluster table came to rest before the calm phase
	Calm        Rates
	Day         Rates
	Changes     int // configuration changes in the day
	Restarts    int
	Failures    int
	Repeated    int             // calls of the operator that were made again, as their outcome was not known
	DayLags     []time.Duration // until a change was in force at a dispatcher
	StormLags   []time.Duration
	StormStarts []time.Duration // until a dispatcher that restarted had a configuration
	Declared    []time.Duration // until a lost dispatcher was declared
}

// Rates are costs per second.
type Rates struct {
	Bytes            float64 // of a dispatcher, both ways
	HollowProcessor  float64 // part of a core, of a dispatcher
	HollowMemory     float64 // bytes, of a dispatcher
	MemberProcessor  float64 // part of a core, of all members together
	BusiestProcessor float64 // part of a core, of the busiest member since its start
	MemberMemory     float64 // bytes, of the largest member
}

// Run measures all sizes, one after another, with one control group. What was measured is returned also where a later
// size fails.
func Run(ctx context.Context, group Group, options Options) ([]Result, error) {
	fleet, err := newFleet(group.Entry(), options.NetworkOf, options.Zones, options.Regions, options.Routes)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer fleet.stop()
	if err := fleet.operator.introduce(ctx); err != nil {
		return nil, err
	}
	run := &run{group: group, options: options, fleet: fleet, random: rand.New(rand.NewPCG(options.Seed, 1))}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go run.guardMemory(ctx, cancel)
	var results []Result
	for _, size := range options.Sizes {
		result, err := run.measure(ctx, size)
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = trace.Wrap(cause, err.Error())
			}
			return results, trace.Wrap(err, "at %d dispatchers", size)
		}
		results = append(results, result)
	}
	return results, nil
}

// run measures the sizes of one run.
type run struct {
	group   Group
	options Options
	fleet   *fleet
	random  *rand.Rand
}

// measure brings the fleet to a size and goes through the phases.
func (r *run) measure(ctx context.Context, size int) (Result, error) {
	result := Result{Dispatchers: size}
	phases := []struct {
		name string
		play func(context.Context, *Result) error
	}{{"boot", r.boot}, {"calm", r.calm}, {"day", r.day}, {"storm", r.storm}, {"losses", r.losses}}
	for _, phase := range phases {
		began := time.Now()
		if err := phase.play(ctx, &result); err != nil {
			return result, trace.Wrap(err, phase.name)
		}
		r.options.Logger.Info("phase ended", zap.Int("dispatchers", size), zap.String("phase", phase.name),
			zap.Duration("took", time.Since(began)), zap.Float64("bytesPerSecond", result.Calm.Bytes),
			zap.Float64("coresOfMembers", result.Calm.MemberProcessor))
	}
	return result, nil
}

func (r *run) boot(ctx context.Context, result *Result) error {
	began := time.Now()
	if err := r.fleet.grow(ctx, result.Dispatchers); err != nil {
		return err
	}
	if err := r.fleet.awaitCurrent(ctx); err != nil {
		return err
	}
	result.Boot = time.Since(began)
	result.Settled = r.fleet.awaitRest(ctx)
	r.fleet.tracker.take()
	return nil
}

func (r *run) calm(ctx context.Context, result *Result) (err error) {
	result.Calm, err = r.rates(func() error {
		ctxtime.Sleep(ctx, r.options.Calm)
		return ctx.Err()
	})
	return err
}

// day plays changes, restarts and failures at the target's rates, compressed.
func (r *run) day(ctx context.Context, result *Result) (err error) {
	end := time.Now().Add(r.options.Day)
	perSecond := r.options.Compression / secondsOfDay
	result.Day, err = r.rates(func() error {
		restarts := newSchedule(r.random, DailyTarget.Restarts*perSecond)
		failures := newSchedule(r.random, DailyTarget.Failures*perSecond)
		changes := newSchedule(r.random, DailyTarget.ConfigurationChanges*perSecond)
		for time.Now().Before(end) && ctx.Err() == nil {
			now := time.Now()
			if err := r.fleet.bringBack(now); err != nil {
				return err
			}
			switch {
			case restarts.due(now):
				result.Restarts++
				r.fleet.take(r.choose(1)[0], now.Add(restartAbsence))
			case failures.due(now):
				result.Failures++
				chosen := r.choose(1)[0]
				r.fleet.tracker.lost(chosen.info.Name, now)
				r.fleet.take(chosen, now.Add(failureAbsence))
			case changes.due(now):
				result.Changes++
				err = r.fleet.operator.change(ctx)
			default:
				ctxtime.Sleep(ctx, scheduleLook)
			}
			if err != nil {
				return err
			}
		}
		if err := r.fleet.awaitDeclared(ctx); err != nil {
			return err
		}
		return trace.NewAggregate(r.fleet.bringBack(farFuture), r.fleet.awaitCurrent(ctx))
	})
	taken := r.fleet.tracker.take()
	result.DayLags, result.Declared = taken.lags, taken.losses
	return err
}

// storm restarts a part of the dispatchers at once while the configuration changes.
func (r *run) storm(ctx context.Context, result *Result) error {
	count := max(int(float64(result.Dispatchers)*r.options.StormPart), 1)
	restarted := make(chan error, 1)
	chosen := r.choose(count)
	go func() { restarted <- r.fleet.restart(ctx, chosen) }()
	for range stormChanges {
		if err := r.fleet.operator.change(ctx); err != nil {
			return err
		}
		ctxtime.Sleep(ctx, stormInterval)
	}
	if err := <-restarted; err != nil {
		return err
	}
	err := r.fleet.awaitCurrent(ctx)
	taken := r.fleet.tracker.take()
	result.StormLags, result.StormStarts = taken.lags, taken.starts
	result.Repeated, r.fleet.operator.repeated = r.fleet.operator.repeated, 0
	return err
}

func (r *run) losses(ctx context.Context, result *Result) error {
	for range r.options.Losses {
		if err := r.fleet.lose(ctx, r.choose(1)[0]); err != nil {
			return err
		}
		if err := r.fleet.awaitCurrent(ctx); err != nil {
			return err
		}
		ctxtime.Sleep(ctx, restartAbsence)
	}
	result.Declared = append(result.Declared, r.fleet.tracker.take().losses...)
	return nil
}

// choose draws dispatchers that run.
func (r *run) choose(count int) []*hollow {
	var chosen []*hollow
	for _, number := range r.random.Perm(len(r.fleet.hollows)) {
		if each := r.fleet.hollows[number]; each.stop != nil && len(chosen) < count {
			chosen = append(chosen, each)
		}
	}
	return chosen
}

// rates measures what a phase costs a second.
func (r *run) rates(play func() error) (Rates, error) {
	began, bytes := time.Now(), r.fleet.traffic.total()
	ownBefore, err := ownUsage()
	if err != nil {
		return Rates{}, err
	}
	groupBefore, err := r.group.Usage()
	if err != nil {
		return Rates{}, err
	}
	if err := play(); err != nil {
		return Rates{}, err
	}
	seconds := time.Since(began).Seconds()
	ownAfter, err := ownUsage()
	if err != nil {
		return Rates{}, err
	}
	groupAfter, err := r.group.Usage()
	if err != nil {
		return Rates{}, err
	}
	dispatchers := float64(len(r.fleet.hollows))
	return Rates{
		Bytes:            float64(r.fleet.traffic.total()-bytes) / seconds / dispatchers,
		HollowProcessor:  (ownAfter.Processor - ownBefore.Processor).Seconds() / seconds / dispatchers,
		HollowMemory:     float64(ownAfter.Memory) / dispatchers,
		MemberProcessor:  (groupAfter.Processor - groupBefore.Processor).Seconds() / seconds,
		BusiestProcessor: (groupAfter.Busiest - groupBefore.Busiest).Seconds() / seconds,
		MemberMemory:     float64(groupAfter.Largest),
	}, nil
}

// guardMemory ends the run when this process and the control group hold more memory than they may.
func (r *run) guardMemory(ctx context.Context, cancel context.CancelCauseFunc) {
	machine, err := machineMemory()
	if err != nil || r.options.MemoryPart <= 0 {
		return
	}
	limit := int64(float64(machine) * r.options.MemoryPart)
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, memoryLook)
		own, err := ownUsage()
		if err != nil {
			continue
		}
		members, err := r.group.Usage()
		if err != nil {
			continue
		}
		if own.Memory+members.Memory > limit {
			cancel(trace.LimitExceeded("more than %d MB of memory are in use", limit>>20))
		}
	}
}

// farFuture is later than anything that is planned.
var farFuture = time.Unix(1<<40, 0)

const (
	scheduleLook = 10 * time.Millisecond
	memoryLook   = time.Second
)

// schedule draws the times of events that come at a mean rate.
type schedule struct {
	random *rand.Rand
	mean   float64 // seconds between two events
	next   time.Time
}

func newSchedule(random *rand.Rand, perSecond float64) *schedule {
	s := &schedule{random: random, mean: 1 / perSecond}
	s.advance(time.Now())
	return s
}

func (s *schedule) advance(from time.Time) {
	s.next = from.Add(time.Duration(s.random.ExpFloat64() * s.mean * float64(time.Second)))
}

// due tells whether an event comes now, and draws the next one.
func (s *schedule) due(now time.Time) bool {
	if now.Before(s.next) {
		return false
	}
	s.advance(s.next)
	return true
}

// quantile returns a quantile of durations, 0 without any.
func quantile(durations []time.Duration, part float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
