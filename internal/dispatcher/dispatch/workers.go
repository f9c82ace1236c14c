package dispatch

import (
	"hash/fnv"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// workerState is the core's record of one listed worker. Only the core's goroutine accesses it, except for leaving,
// which Attempt.MayStart reads on any goroutine just before a send.
type workerState struct {
	config.Worker
	number  decision.WorkerID
	started time.Duration // on the core's clock; 0 means unknown
	state   decision.State
	leaving atomic.Bool // the worker is not ready: no request may start
}

// stateByName maps the state names in list entries. An unknown name counts as draining, so that the worker gets no
// jobs.
var stateByName = map[string]decision.State{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}

// WorkerCounts returns the number of workers in each decision.State. Gone workers count while they still hold jobs. Any
// goroutine may call it.
func (c *Core) WorkerCounts() [3]int { return *c.workerCounts.Load() }

// UpdateWorkers passes the core a message from discovery: a complete list, a change to the list, or a failed call. Any
// goroutine may call it; it blocks while the mailbox is full.
func (c *Core) UpdateWorkers(kind decision.ListKind, workers []config.Worker) {
	c.post(func() { c.applyList(kind, workers) })
}

// applyList updates the table of workers from a list and passes the entries to the module.
func (c *Core) applyList(kind decision.ListKind, workers []config.Worker) {
	switch kind {
	case decision.ListFailed:
		c.Counters.ListFailures.Add(1)
	case decision.ListDelta:
		c.Counters.ListChanges.Add(1)
	default:
		c.Counters.ListChanges.Add(1)
		workers = append(workers[:len(workers):len(workers)], c.fixedWorkers...)
		c.removeMissing(workers)
	}
	event := decision.Event{Kind: decision.EventList, List: kind}
	for _, entry := range workers {
		w := c.applyEntry(entry)
		if w == nil {
			continue
		}
		event.Entries = append(event.Entries, decision.Entry{
			Worker:  w.number,
			Started: w.started,
			Cell:    entry.Cell,
			Zone:    config.Index(c.node.Zones, w.Zone),
			Kind:    config.Index(c.node.Kinds, w.Kind),
			Weight:  entry.Weight,
			State:   w.state,
		})
	}
	c.removeGone()
	c.handle(&event)
}

// removeMissing marks as gone each known worker that is missing from a complete list.
func (c *Core) removeMissing(list []config.Worker) {
	listed := map[string]bool{}
	for _, w := range list {
		listed[w.ID] = true
	}
	for _, w := range c.workers {
		if !listed[w.ID] {
			w.state = decision.Gone
			w.leaving.Store(true)
		}
	}
}

// removeGone deletes the gone workers that hold no jobs and updates workerCounts.
func (c *Core) removeGone() {
	holdsJobs := map[decision.WorkerID]bool{}
	for _, j := range c.jobs {
		for _, a := range j.attempts {
			holdsJobs[a.worker.number] = holdsJobs[a.worker.number] || !a.ended
		}
	}
	var counts [3]int
	for number, w := range c.workers {
		if w.state == decision.Gone && !holdsJobs[number] {
			delete(c.workers, number)
			delete(c.workerByName, w.ID)
			continue
		}
		counts[w.state]++
	}
	c.workerCounts.Store(&counts)
}

// applyEntry updates the table of workers from one list entry. It returns nil if the entry is ignored: the worker is
// gone and was not known, or the table already holds Limits.Workers workers.
func (c *Core) applyEntry(entry config.Worker) *workerState {
	state, ok := stateByName[entry.State]
	if !ok {
		state = decision.Draining
	}
	number, known := c.workerByName[entry.ID]
	if !known {
		if state == decision.Gone || len(c.workers) >= c.limits.Workers {
			return nil
		}
		number = c.newNumber(entry.ID)
	}
	w := c.workers[number]
	if w == nil || state == decision.Ready && w.leaving.Load() {
		// A worker that was leaving is ready again, as a new process. Attempts in flight to the old process keep the
		// old record and must still see that it is leaving.
		fresh := &workerState{number: number}
		if w != nil {
			fresh.Worker, fresh.started = w.Worker, w.started
		}
		w = fresh
		c.workers[number] = w
	}
	w.started = c.startTime(w, entry.StartedAtMs)
	if w.Address != "" && entry.State == "gone" { // the last entry may omit the address
		entry.Address, entry.Zone, entry.Kind, entry.Queue = w.Address, w.Zone, w.Kind, w.Queue
	}
	w.Worker, w.state = entry, state
	w.leaving.Store(state != decision.Ready)
	return w
}

// newNumber assigns a new worker the first free number, starting at workerNumber(name).
func (c *Core) newNumber(name string) decision.WorkerID {
	number := workerNumber(name)
	for c.workers[number] != nil {
		number++
	}
	c.workerByName[name] = number
	return number
}

// startTime returns when a worker started, on the core's clock, or 0 if that is unknown. Each start is converted from
// wall-clock time once, so that a step of the wall clock does not look like a restart. A start in the future counts as
// now.
func (c *Core) startTime(w *workerState, startedAtMs int64) time.Duration {
	switch {
	case startedAtMs <= 0:
		return 0
	case startedAtMs == w.StartedAtMs:
		return w.started
	}
	age := max(time.Since(time.UnixMilli(startedAtMs)), 0)
	return max(c.now()-age, 0)
}

// workerNumber derives the module's number for a worker from the worker's name. The number must be the same at all
// dispatchers and after restarts, because key affinity depends on it. If the name ends in "-" and eight hexadecimal
// digits, the number is those digits; otherwise it is a hash of the name.
func workerNumber(name string) decision.WorkerID {
	if at := strings.LastIndexByte(name, '-'); at >= 0 && len(name)-at == 9 {
		if v, err := strconv.ParseUint(name[at+1:], 16, 32); err == nil {
			return decision.WorkerID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return decision.WorkerID(h.Sum32())
}

// AffinityKey derives a job's affinity key from the subject of the job. If the subject is a number of sixteen
// hexadecimal digits other than 0, the key is that number; otherwise it is a hash of the subject. The key is never 0.
func AffinityKey(subject string) uint64 {
	if v, err := strconv.ParseUint(subject, 16, 64); err == nil && len(subject) == 16 && v != 0 {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(subject))
	return max(h.Sum64(), 1)
}
