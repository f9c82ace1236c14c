// Package capture records what a dispatcher takes, sends and answers, and reads
// such records back. A capture is a pair of Parquet files: one row a client's
// try, one row an attempt; a manifest beside them seals both. The definition is
// docs/capture-format.md. The recorder must never block the core or cost a job:
// what finds no room in memory or on the disk is counted and left out. Without
// its manifest no file counts as closed.
package capture

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

var verdicts = map[dispatch.AnswerKind]string{dispatch.Served: "served", dispatch.Rejected: "refused", dispatch.Failed: "failed"}

// open is a job that is under way.
type open struct {
	job      int64
	came     int64
	attempts int32
}

// under is an attempt that is under way.
type under struct {
	job, sent, started int64
}

// Recorder is an observer of the core that writes what it sees.
type Recorder struct {
	node     *config.Node
	conf     *config.Capture
	counters *dispatch.Counters
	zero     time.Time // calendar at the core's time zero
	boot     int64
	calendar func() time.Time
	create   func(name string) (disk, error) // tests put failing disks in its place

	// The core's goroutine alone: it builds whole rows, the writer only writes.
	taken    int64
	jobs     map[*dispatch.Job]open
	attempts map[*dispatch.Attempt]under

	tries chan Request
	sends chan Attempt
	lost  atomic.Int64 // rows since the last file began
	stop  chan struct{}
	once  sync.Once
	done  chan struct{}
}

// NewRecorder makes a recorder for a node. clock is the core's.
func NewRecorder(n *config.Node, counters *dispatch.Counters, clock func() (time.Duration, time.Time)) *Recorder {
	at, now := clock()
	r := &Recorder{node: n, conf: n.Capture, counters: counters, zero: now.Add(-at), boot: now.UnixNano(), calendar: time.Now,
		jobs: map[*dispatch.Job]open{}, attempts: map[*dispatch.Attempt]under{},
		tries: make(chan Request, n.Limits.CaptureQueueRows), sends: make(chan Attempt, n.Limits.CaptureQueueRows),
		stop: make(chan struct{}), done: make(chan struct{})}
	r.create = func(name string) (disk, error) {
		return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o640)
	}
	return r
}

// unix turns the core's time into Unix time, blind to steps of the calendar.
func (r *Recorder) unix(at time.Duration) int64 { return r.zero.UnixNano() + int64(at) }

// See makes rows of what the core does.
func (r *Recorder) Observe(m *dispatch.Event) {
	switch m.Kind {
	case dispatch.JobAccepted:
		r.taken++
		r.jobs[m.Job] = open{job: r.taken, came: r.unix(m.At)}
	case dispatch.JobOverflowed: // on a front's goroutine: it touches nothing that is not safe there
		r.try(m.Job, open{came: r.unix(m.At)}, m.At, "turned", r.node.Limits.RetryAfter)
	case dispatch.AttemptSent:
		if o, ok := r.jobs[m.Job]; ok {
			o.attempts++
			r.jobs[m.Job] = o
			r.attempts[m.Attempt] = under{job: o.job, sent: r.unix(m.At), started: -1}
		}
	case dispatch.AttemptStarted:
		if u, ok := r.attempts[m.Attempt]; ok && u.started < 0 {
			u.started = r.unix(m.At) - u.sent
			r.attempts[m.Attempt] = u
		}
	case dispatch.AttemptEnded:
		if u, ok := r.attempts[m.Attempt]; ok {
			delete(r.attempts, m.Attempt)
			r.attempt(m.Attempt, u, r.unix(m.At)-u.sent, dispatch.OutcomeName(m.Outcome), &m.Load)
		}
	case dispatch.JobAnswered, dispatch.JobAbandoned:
		o, ok := r.jobs[m.Job]
		if !ok {
			return
		}
		delete(r.jobs, m.Job)
		verdict := "left"
		if m.Kind == dispatch.JobAnswered {
			verdict = verdicts[m.Answer.Kind]
		}
		r.try(m.Job, o, m.At, verdict, m.Answer.RetryAfter)
	}
}

func (r *Recorder) try(j *dispatch.Job, o open, at time.Duration, verdict string, after time.Duration) {
	row := Request{Node: r.node.Name, Boot: r.boot, Job: o.job, Arrived: o.came, Class: word(r.node.Classes, j.Class),
		Tenant: word(r.node.Tenants, j.Tenant), Retry: j.Retry, Slots: j.Slots, Memory: j.Memory,
		Timeout: int64(j.Timeout), Outcome: verdict, Duration: r.unix(at) - o.came, RetryAfter: int64(after), Attempts: o.attempts}
	row.ClockOffset = r.calendar().UnixNano() - r.unix(at)
	if j.AffinityKey != 0 {
		row.AffinityHash = max(xxhash.Sum64String(r.conf.Salt+"/"+strconv.FormatUint(j.AffinityKey, 16)), 1)
	}
	select {
	case r.tries <- row:
	default:
		r.lose(1)
	}
}

func (r *Recorder) attempt(a *dispatch.Attempt, u under, took int64, outcome string, l *decision.Load) {
	s := &r.node.Module.Report
	row := Attempt{Node: r.node.Name, Boot: r.boot, Job: u.job, Attempt: int32(a.Number()), Class: word(r.node.Classes, a.Job.Class),
		Worker: a.Worker.ID, Kind: a.Worker.Kind, Zone: a.Worker.Zone, Sent: u.sent, Started: u.started, Ended: took, Outcome: outcome,
		FreeSlots: figure(l, s.FreeSlots), Queue: figure(l, s.Queue), Errors: figure(l, s.Errors), Rate: figure(l, r.node.LoadFieldIndex("rate"))}
	select {
	case r.sends <- row:
	default:
		r.lose(1)
	}
}

func word(list []string, i int) string {
	if i < 0 || i >= len(list) {
		return ""
	}
	return list[i]
}

func (r *Recorder) lose(rows int) {
	r.lost.Add(int64(rows))
	r.counters.CaptureDropped.Add(int64(rows))
}

// Run writes rows until Close. It begins with what a process of this name left open when it ended.
func (r *Recorder) Run() {
	defer close(r.done)
	r.orphans()
	var p *pair
	tick := time.NewTicker(time.Duration(min(r.conf.GroupS, 1) * float64(time.Second) / 4))
	defer tick.Stop()
	var tries []Request
	var sends []Attempt
	var since time.Time // when the oldest of these came
	retry := time.Time{}
	old := func() bool { return p != nil && time.Since(p.began) >= span(r.conf.RotateS) }
	put := func(end bool) error {
		if p == nil {
			if len(tries)+len(sends) == 0 {
				return nil
			} else if time.Now().Before(retry) && !end {
				return errWaiting
			}
			var err error
			if p, err = r.begin(); err != nil {
				return err
			}
		}
		if err := p.write(tries, sends); err != nil || !end && !old() && p.bytes() < int64(r.conf.RotateMB*(1<<20)) {
			return err
		}
		lost := r.lost.Swap(0)
		if err := p.close(r.node.Name, lost); err != nil {
			r.lost.Add(lost)
			return err
		}
		r.counters.Captured.Add(int64(p.rows))
		p = nil
		r.sweep()
		return nil
	}
	flush := func(end bool) {
		if err := put(end); err != nil {
			rows := len(tries) + len(sends)
			if p != nil {
				rows = p.rows // with those that it was given just now
				p.drop()
				p = nil
			}
			r.lose(rows)
			if err != errWaiting {
				log.Printf("capture: %d rows lost: %v", rows, err)
				retry = time.Now().Add(r.node.Limits.CaptureRetryDelay)
			}
		}
		tries, sends = tries[:0], sends[:0]
	}
	for {
		select {
		case t := <-r.tries:
			tries = append(tries, t)
		case a := <-r.sends:
			sends = append(sends, a)
		case <-tick.C:
			if old() || len(tries)+len(sends) > 0 && time.Since(since) >= span(r.conf.GroupS) {
				flush(false)
			}
			continue
		case <-r.stop:
			for {
				select {
				case t := <-r.tries:
					tries = append(tries, t)
					continue
				case a := <-r.sends:
					sends = append(sends, a)
					continue
				default:
				}
				break
			}
			flush(true)
			return
		}
		if len(tries)+len(sends) == 1 {
			since = time.Now()
		}
		if len(tries)+len(sends) >= r.node.Limits.CaptureGroupRows {
			flush(false)
		}
	}
}

var errWaiting = errors.New("waiting for the disk")

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Close writes what is there and closes the files. The core must have ended.
func (r *Recorder) Close(ctx context.Context) error {
	r.once.Do(func() {
		for a, u := range r.attempts {
			r.attempt(a, u, -1, "open", &decision.Load{})
		}
		close(r.stop)
	})
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("capture: the last rows were not written in time: %w", ctx.Err())
	}
}

func figure(l *decision.Load, at int) float64 {
	if at < 0 || at >= min(l.Count, len(l.Values)) {
		return nan
	}
	return l.Values[at]
}
