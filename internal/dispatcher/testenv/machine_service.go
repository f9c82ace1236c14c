// The service time of a worker's jobs: slots, queue, slow start and shared cores.

package testenv

import (
	"time"
)

// workerJob is a job at a worker, waiting or running.
type workerJob struct {
	work, finish float64        // in seconds of work: the job's own, and the machine's service per job at its end
	stages       chan time.Time // gets the times of start and end; closed instead if the worker dies
}

// Before orders running jobs by their end.
func (job *workerJob) Before(other *workerJob) bool { return job.finish < other.finish }

// rate returns the service that each running job receives, in seconds of work per second.
func (m *machine) rate(at time.Time) float64 {
	capacity := 1.0
	if !m.startedAt.IsZero() {
		capacity = min(m.kind.SlowStartShare+(1-m.kind.SlowStartShare)*at.Sub(m.startedAt).Seconds()/max(m.kind.SlowStartSeconds, 1e-9), 1)
	}
	return m.speed * capacity * min(1, m.kind.Cores*(1-m.sharedFraction)/float64(max(len(m.running), 1)))
}

// advance adds the service since the last call, ends and begins jobs, and sets the timer for its next call. The caller
// holds the lock.
func (m *machine) advance() {
	now := time.Now()
	if span := now.Sub(m.advancedAt); len(m.running) > 0 && span > 0 {
		m.servicePerJob += m.rate(m.advancedAt.Add(span/2)) * span.Seconds()
	}
	m.advancedAt = now
	for len(m.running) > 0 && m.running[0].finish <= m.servicePerJob+1e-7 {
		job := m.running.Pop()
		job.stages <- now
		m.completed++
	}
	for len(m.waiting) > 0 && len(m.running) < m.kind.Slots {
		m.startJob(m.waiting[0], now)
		m.waiting = m.waiting[1:]
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.running) > 0 {
		wait := time.Hour
		if r := m.rate(now); r > 0 {
			wait = dur(min((m.running[0].finish-m.servicePerJob)/r, 1000))
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

// startJob starts a job in a free slot. The caller holds the lock.
func (m *machine) startJob(job *workerJob, now time.Time) {
	job.finish = m.servicePerJob + job.work
	m.running.Push(job)
	job.stages <- now
}

// submit starts or queues a job. It returns nil if the queue is full, and a job with a closed stage if the worker is
// down.
func (m *machine) submit(work float64) *workerJob {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	job := &workerJob{work: work, stages: make(chan time.Time, 2)}
	switch {
	case !m.up:
		close(job.stages)
		return job
	case len(m.running) < m.kind.Slots && len(m.waiting) == 0:
		m.startJob(job, m.advancedAt)
	case len(m.waiting) < m.kind.Queue:
		m.waiting = append(m.waiting, job)
	default:
		return nil
	}
	m.advance()
	return job
}
