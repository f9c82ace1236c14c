// The service time of a worker's jobs: slots, queue, slow start and shared cores.

package testenv

import (
	"time"
)

// runningJob is a job at a worker, waiting or running.
type runningJob struct {
	work, finish float64        // in seconds of work: the job's own, and the machine's service per job at its end
	stage        chan time.Time // gets the times of start and end; closed instead if the worker dies
}

// Before orders running jobs by their end.
func (p *runningJob) Before(other *runningJob) bool { return p.finish < other.finish }

// rate returns the service that each running job receives, in seconds of work per second.
func (m *machine) rate(at time.Time) float64 {
	capacity := 1.0
	if !m.startedAt.IsZero() {
		capacity = min(m.kind.SlowStartShare+(1-m.kind.SlowStartShare)*at.Sub(m.startedAt).Seconds()/max(m.kind.SlowStartSeconds, 1e-9), 1)
	}
	return m.speed * capacity * min(1, m.kind.Cores*(1-m.taken)/float64(max(len(m.running), 1)))
}

// advance adds the service since the last call, ends and begins jobs, and sets the timer for its next call. The caller
// holds the lock.
func (m *machine) advance() {
	now := time.Now()
	if span := now.Sub(m.counted); len(m.running) > 0 && span > 0 {
		m.each += m.rate(m.counted.Add(span/2)) * span.Seconds()
	}
	m.counted = now
	for len(m.running) > 0 && m.running[0].finish <= m.each+1e-7 {
		p := m.running.Pop()
		p.stage <- now
		m.done++
	}
	for len(m.waiting) > 0 && len(m.running) < m.kind.Slots {
		m.begin(m.waiting[0], now)
		m.waiting = m.waiting[1:]
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.running) > 0 {
		wait := time.Hour
		if r := m.rate(now); r > 0 {
			wait = dur(min((m.running[0].finish-m.each)/r, 1000))
		}
		if !m.startedAt.IsZero() {
			wait = min(wait, 20*time.Millisecond)
		}
		m.timer = time.AfterFunc(wait, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.advance()
		})
	}
}

// begin starts a job in a free slot. The caller holds the lock.
func (m *machine) begin(p *runningJob, now time.Time) {
	p.finish = m.each + p.work
	m.running.Push(p)
	p.stage <- now
}

// take starts or queues a job. It returns nil if the queue is full, and a job with a closed stage if the worker is
// down.
func (m *machine) take(work float64) *runningJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	p := &runningJob{work: work, stage: make(chan time.Time, 2)}
	switch {
	case !m.up:
		close(p.stage)
		return p
	case len(m.running) < m.kind.Slots && len(m.waiting) == 0:
		m.begin(p, m.counted)
	case len(m.waiting) < m.kind.Queue:
		m.waiting = append(m.waiting, p)
	default:
		return nil
	}
	m.advance()
	return p
}
