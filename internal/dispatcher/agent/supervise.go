package agent

import (
	"context"
	"errors"
	"log"
	"os"
	"runtime"
	"time"
)

// supervise runs the process of one instance, and restarts it with exponential backoff, while the instance is wanted
// and ctx has not ended.
func (a *Agent) supervise(ctx context.Context, in *instance) {
	// Pdeathsig takes effect when the thread that started the child ends, not when the agent's process ends. The
	// goroutine keeps its thread, so that the thread does not end before the child.
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
		if wanted := a.recordEnd(ctx, in, err); !wanted || ctx.Err() != nil {
			continue
		}
		log.Printf("instance %s ended (%v); restarting it", in.config.Name, err)
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

// checkWanted reports whether an instance that has no process should run. If not, it sets the state to Drained.
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

// runProcess starts a process and waits until it has ended. It returns why the process did not start or why it ended;
// nil means that it exited with status 0.
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

// recordEnd updates the status after the end of a process, and counts a restart if one follows. It reports whether the
// instance is wanted.
func (a *Agent) recordEnd(ctx context.Context, in *instance, err error) bool {
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

// watch polls the counters of a process until it has ended. It terminates the process if the instance is no longer
// wanted or ctx ends, and kills it if it has not ended after StopTimeout.
func (a *Agent) watch(ctx context.Context, in *instance, p Process) error {
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	poll := time.NewTicker(a.limits.PollInterval)
	defer poll.Stop()
	stop := ctx.Done()
	var stopTimeout <-chan time.Time // nil until the process is asked to terminate
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
		case <-stopTimeout: // the clients of the open jobs no longer wait for answers
			log.Printf("instance %s did not stop within %v; killing it", in.config.Name, a.limits.StopTimeout)
			p.Kill()
		case <-poll.C:
			a.poll(ctx, in)
		}
	}
}

// terminate asks a process to terminate, and returns a channel that receives a value after StopTimeout.
func (a *Agent) terminate(in *instance, p Process) <-chan time.Time {
	a.setState(in, Draining)
	if err := p.Terminate(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		log.Printf("instance %s: %v", in.config.Name, err)
	}
	return time.After(a.limits.StopTimeout)
}

// poll fetches the counters of an instance. Unless the instance is draining, its state becomes Up if it answers and
// Starting if it does not.
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
