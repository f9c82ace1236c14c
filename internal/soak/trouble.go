package soak

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// limitedPerSecond is the rate limit of the trouble SetLimit.
const limitedPerSecond = 39

// troubles plays the troubles of a plan.
type troubles struct {
	deployment *deployment
	operator   *operator
	fixed      *worker // the static endpoint
	report     func(format string, arguments ...any)
}

// play waits until a trouble's time has come, plays it and records it.
func (t *troubles) play(ctx context.Context, trouble *Trouble) error {
	recorder := t.deployment.recorder
	sleepUntil(ctx, recorder, milliseconds(trouble.AtMS))
	if ctx.Err() != nil {
		return nil
	}
	t.report("%s %s", trouble.Kind, trouble.Machine)
	from := recorder.now()
	err := t.inflict(ctx, trouble)
	until := recorder.now()
	recorder.write(func(history *History) {
		history.Faults = append(history.Faults, Fault{Trouble: *trouble, From: from, Until: until})
	})
	return trace.Wrap(err, "%s %s", trouble.Kind, trouble.Machine)
}

// inflict plays a trouble and returns when it is over.
func (t *troubles) inflict(ctx context.Context, trouble *Trouble) error {
	machine, span := t.deployment.machine(trouble.Machine), milliseconds(trouble.ForMS)
	switch trouble.Kind {
	case Kill:
		machine.kill()
		time.Sleep(span)
		return machine.start()
	case LoseDisk:
		machine.kill()
		if err := machine.loseDisk(); err != nil {
			return err
		}
		time.Sleep(span)
		return machine.start()
	case KillStores:
		return t.killStores(span)
	case Terminate:
		machine.terminate()
		time.Sleep(span)
		return machine.start()
	case Freeze:
		machine.signal(syscall.SIGSTOP, false)
		time.Sleep(span)
		machine.signal(syscall.SIGCONT, false)
	case Reload:
		machine.signal(syscall.SIGHUP, false)
	case Retire:
		return t.operator.retire(ctx, trouble.Machine)
	case SetLimit:
		return t.setLimit(ctx, span)
	case Misdirect:
		t.fixed.misdirected.Store(true)
		time.Sleep(span)
		t.fixed.misdirected.Store(false)
	case RouteAdded:
		return t.addRoute(ctx, span)
	}
	return nil
}

// killStores kills all stores at once and starts them again.
func (t *troubles) killStores(span time.Duration) error {
	var kills sync.WaitGroup
	for _, store := range t.deployment.stores {
		kills.Go(store.kill)
	}
	kills.Wait()
	time.Sleep(span)
	for _, store := range t.deployment.stores {
		if err := store.start(); err != nil {
			return err
		}
	}
	return nil
}

// setLimit gives the plain service a rate limit for some time, and records when it was certainly in force.
func (t *troubles) setLimit(ctx context.Context, span time.Duration) error {
	if err := t.operator.change(ctx, func(state *configurationState) { state.plainPerS = limitedPerSecond }); err != nil {
		return err
	}
	recorder := t.deployment.recorder
	limit := Limit{Service: string(Plain), PerSecond: limitedPerSecond, From: recorder.now() + milliseconds(configApplyMS)}
	time.Sleep(milliseconds(configApplyMS) + span)
	limit.Until = recorder.now()
	recorder.write(func(history *History) { history.Limits = append(history.Limits, limit) })
	return t.operator.change(ctx, func(state *configurationState) { state.plainPerS = 0 })
}

// addRoute adds a route to the configuration, and takes it away after some time.
func (t *troubles) addRoute(ctx context.Context, span time.Duration) error {
	if err := t.operator.change(ctx, func(state *configurationState) { state.hasAddedRoute = true }); err != nil {
		return err
	}
	time.Sleep(span)
	return t.operator.change(ctx, func(state *configurationState) { state.hasAddedRoute = false })
}

// sleepUntil waits until a time of the plan, or until the context ends.
func sleepUntil(ctx context.Context, recorder *recorder, at time.Duration) {
	timer := time.NewTimer(at - recorder.now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
