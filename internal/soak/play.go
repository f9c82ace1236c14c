package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Options says how to play a plan.
type Options struct {
	Program string // path of gladepick-system
	Folder  string // of settings, disks, logs and the record; must exist
	Network int    // second byte of the loopback addresses; plays at the same time need different ones
	// Report is called with what happens, for progress.
	Report func(format string, arguments ...any)
}

// Times of a play.
const (
	listReadTime     = 3 * time.Second // until the stores have the list of workers
	settleTime       = 12 * time.Second
	progressInterval = 500 * time.Millisecond
	stalledAfter     = 15 * time.Second // without a run, with messages that are due
	finishTimeout    = 90 * time.Second // after the last trouble
)

// workerGroup describes the workers of a service.
type workerGroup struct {
	service  RouteName
	count    int
	capacity int
	work     time.Duration
}

var workerGroups = []workerGroup{
	{Plain, 4, 12, 20 * time.Millisecond},
	{Ordered, 4, 16, 3 * time.Millisecond},
	{Slow, 2, 4, 400 * time.Millisecond},
	{Fixed, 1, 8, 10 * time.Millisecond},
}

// play is a plan that is being played.
type play struct {
	options    Options
	plan       *Plan
	recorder   *recorder
	deployment *deployment
	listeners  []net.Listener
	platform   *platform
	fixed      *worker
	operator   *operator
	clients    *clients
}

// Play plays a plan and returns its history. An error means that the plan could not be played.
func Play(ctx context.Context, plan *Plan, options Options) (*History, error) {
	if options.Report == nil {
		options.Report = func(string, ...any) {}
	}
	p := &play{options: options, plan: plan, recorder: newRecorder(plan), platform: newPlatform()}
	var err error
	if p.deployment, err = newDeployment(options, plan, p.recorder); err != nil {
		return nil, trace.Wrap(err)
	}
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.run(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	if ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err())
	}
	history := p.recorder.history
	history.End = p.recorder.now()
	return &history, nil
}

// close ends everything that the play has started.
func (p *play) close() {
	p.deployment.stop()
	p.deployment.removeDisks()
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
}

// start starts the stand-ins and the processes, and puts the first configuration in force.
func (p *play) start(ctx context.Context) error {
	if err := p.startWorkers(); err != nil {
		return trace.Wrap(err)
	}
	listener, err := p.platform.serve(p.deployment.ip(partPlatform, 1))
	if err != nil {
		return trace.Wrap(err)
	}
	p.listeners = append(p.listeners, listener)
	p.deployment.platform = listener.Addr().String()
	if err := p.deployment.startAll(); err != nil {
		return trace.Wrap(err)
	}
	p.operator = newOperator(p.deployment, p.fixed.address())
	p.clients = newClients(p.deployment, p.plan.Seed)
	if err := p.operator.change(ctx, func(*configurationState) {}); err != nil {
		return trace.Wrap(err)
	}
	if err := p.operator.awaitReady(ctx); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(listReadTime)
	p.recorder.begin()
	return nil
}

// startWorkers starts the workers of all services. The static endpoint is on no list.
func (p *play) startWorkers() error {
	number := 0
	for _, group := range workerGroups {
		for i := range group.count {
			number++
			id := fmt.Sprintf("i-%s-%d", group.service, i+1)
			started, err := newWorker(
				p.deployment.ip(partWorkers, number), id, string(group.service), zones[i%len(zones)], group.capacity, group.work, p.recorder,
			)
			if err != nil {
				return trace.Wrap(err)
			}
			p.listeners = append(p.listeners, started.listener)
			if group.service == Fixed {
				p.fixed = started
			} else {
				p.platform.add(started)
			}
		}
	}
	return nil
}

// run plays the bursts and the troubles, waits until the messages have ended, and asks for all of them.
func (p *play) run(ctx context.Context) error {
	troubles := &troubles{deployment: p.deployment, operator: p.operator, fixed: p.fixed, report: p.options.Report}
	failures := make(chan error, len(p.plan.Troubles))
	var events sync.WaitGroup
	for i := range p.plan.Bursts {
		burst := &p.plan.Bursts[i]
		events.Go(func() {
			sleepUntil(ctx, p.recorder, milliseconds(burst.AtMS))
			p.options.Report("burst of %d messages, route %s", burst.Messages, burst.Route)
			p.clients.send(ctx, i, burst)
		})
	}
	for i := range p.plan.Troubles {
		events.Go(func() {
			if err := troubles.play(ctx, &p.plan.Troubles[i]); err != nil {
				failures <- err
			}
		})
	}
	events.Wait()
	close(failures)
	for err := range failures {
		p.options.Report("trouble failed: %v", err)
	}
	sleepUntil(ctx, p.recorder, p.recorder.now()+settleTime)
	p.awaitEnd(ctx)
	p.clients.queryAll(ctx, p.accepted())
	return nil
}

// accepted returns the accepted messages.
func (p *play) accepted() []Attempt {
	var found []Attempt
	p.recorder.write(func(history *History) {
		for _, attempt := range history.Attempts {
			if attempt.accepted() {
				found = append(found, attempt)
			}
		}
	})
	return found
}

// awaitEnd waits until all accepted messages have ended, nothing has run for stalledAfter although messages are due, or
// finishTimeout has passed.
func (p *play) awaitEnd(ctx context.Context) {
	deadline := p.recorder.now() + finishTimeout
	progressedAt, runs := p.recorder.now(), 0
	for ctx.Err() == nil && p.recorder.now() < deadline {
		waiting, newRuns, nextDue := p.progress()
		now := p.recorder.now()
		if waiting == 0 {
			return
		}
		if newRuns != runs || nextDue > now {
			runs, progressedAt = newRuns, now
		}
		if now-progressedAt > stalledAfter {
			return
		}
		time.Sleep(progressInterval)
	}
}

// progress returns the number of accepted messages that have not ended, the number of runs, and when the next of these
// messages is due, or 0 if one is due already.
func (p *play) progress() (waiting, runs int, nextDue time.Duration) {
	p.recorder.write(func(history *History) {
		ended := endings(history)
		now := time.Since(p.recorder.started)
		isDue := false
		for i := range history.Attempts {
			attempt := &history.Attempts[i]
			if _, found := ended[attempt.RequestID]; found || !attempt.accepted() {
				continue
			}
			waiting++
			due := attempt.SentAt + attempt.Delay
			isDue = isDue || due <= now
			if nextDue == 0 || due < nextDue {
				nextDue = due
			}
		}
		if isDue {
			nextDue = 0
		}
		runs = len(history.Runs)
	})
	return waiting, runs, nextDue
}
