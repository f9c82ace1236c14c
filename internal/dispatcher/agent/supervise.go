package agent

import (
	"context"
	"errors"
	"log"
	"os"
	"runtime"
	"time"
)

// supervise keeps one instance running while it is wanted, until ctx ends.
func (a *Agent) supervise(ctx context.Context, in *instance) {
	// The kernel ends a child when the thread that started it ends, not the process: the thread stays as long as this.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	backoff := a.limits.RestartBackoff
	for ctx.Err() == nil {
		if !a.checkWanted(in) {
			select {
			case <-ctx.Done():
			case <-in.wake:
			}
			continue
		}
		began := time.Now()
		err := a.runProcess(ctx, in, began)
		if wanted := a.noteEnd(ctx, in, err); !wanted || ctx.Err() != nil {
			continue
		}
		log.Printf("instance %s ended (%v); it starts again", in.config.Name, err)
		if time.Since(began) > a.limits.StableAfter {
			backoff = a.limits.RestartBackoff
		}
		select {
		case <-ctx.Done():
		case <-in.wake:
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, a.limits.RestartBackoffMax)
	}
	a.setState(in, Drained)
}

// checkWanted returns whether an instance without a process is to run; one that is not is drained.
func (a *Agent) checkWanted(in *instance) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !in.wanted {
		in.status.State = Drained
	}
	return in.wanted
}

func (a *Agent) isWanted(in *instance) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return in.wanted
}

func (a *Agent) setState(in *instance, s State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	in.status.State = s
}

// runProcess starts a process and watches it to its end. Its error is why the process did not start or ended.
func (a *Agent) runProcess(ctx context.Context, in *instance, began time.Time) error {
	p, err := a.StartProcess(in.config)
	if err != nil {
		return err
	}
	a.mu.Lock()
	in.process = p
	in.status.State, in.status.PID, in.status.Since, in.status.Counters = Starting, p.PID(), began, nil
	a.mu.Unlock()
	return a.watch(ctx, in, p)
}

// noteEnd notes that a process has ended, and counts the restart that follows. It returns whether the instance is wanted.
func (a *Agent) noteEnd(ctx context.Context, in *instance, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	in.process = nil
	in.status.State, in.status.PID, in.status.Since, in.status.LastEnd = Waiting, 0, time.Time{}, "exited"
	if err != nil {
		in.status.LastEnd = err.Error()
	}
	if in.wanted && ctx.Err() == nil {
		in.status.Restarts++
	}
	return in.wanted
}

// watch watches a process to its end, reads its counters meanwhile, and ends it where it is wanted no more or ctx ends.
func (a *Agent) watch(ctx context.Context, in *instance, p Process) error {
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	poll := time.NewTicker(a.limits.PollInterval)
	defer poll.Stop()
	stop := ctx.Done()
	var stopTimeout <-chan time.Time // nil until the process was told to leave
	a.poll(ctx, in)
	for {
		select {
		case err := <-ended:
			return err
		case <-stop:
			stop = nil
			if stopTimeout == nil {
				stopTimeout = a.terminate(in, p)
			}
		case <-in.wake:
			if !a.isWanted(in) && stopTimeout == nil {
				stopTimeout = a.terminate(in, p)
			}
		case <-stopTimeout: // it has had the time that its clients give it
			log.Printf("instance %s has not left in %v and is killed", in.config.Name, a.limits.StopTimeout)
			p.Kill()
		case <-poll.C:
			a.poll(ctx, in)
		}
	}
}

// terminate tells a process to leave, and returns the channel of the time by which it must have left.
func (a *Agent) terminate(in *instance, p Process) <-chan time.Time {
	a.setState(in, Draining)
	if err := p.Terminate(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		log.Printf("instance %s: %v", in.config.Name, err)
	}
	return time.After(a.limits.StopTimeout)
}

// poll reads an instance's counters; whether it answers is its state.
func (a *Agent) poll(ctx context.Context, in *instance) {
	ctx, cancel := context.WithTimeout(ctx, a.limits.RequestTimeout)
	defer cancel()
	counts, err := a.FetchCounters(ctx, in.config.Listen)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		in.status.Counters = counts
	}
	switch {
	case in.status.State == Draining:
	case err == nil:
		in.status.State = Up
	default:
		in.status.State = Starting
	}
}
