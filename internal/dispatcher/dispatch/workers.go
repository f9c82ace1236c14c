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

// workerState is what the core knows of one listed worker. It belongs to the core's goroutine, but for leaving, which
// Attempt.MayStart reads just before a send.
type workerState struct {
	config.Worker
	number  decision.WorkerID
	started time.Duration // on the core's clock; 0 is unknown
	state   decision.State
	leaving atomic.Bool
}

// stateByName maps the states of a list's entries. An unknown state is none to send to: the worker counts as draining.
var stateByName = map[string]decision.State{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}

// WorkerCounts counts the listed workers by decision.State: gone ones that still hold jobs, ready and draining ones.
func (c *Core) WorkerCounts() [3]int { return *c.workerCounts.Load() }

// UpdateWorkers passes on what discovery says: a complete list, what changed, or that a call has failed.
func (c *Core) UpdateWorkers(kind decision.ListKind, workers []config.Worker) {
	c.post(func() { c.applyList(kind, workers) })
}

// applyList brings entries of a list into the table and hands them to the module.
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
	c.forgetGone()
	c.handle(&event)
}

// removeMissing marks the workers as gone that are not in a complete list.
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

// forgetGone drops the gone workers that hold no jobs, and counts the others.
func (c *Core) forgetGone() {
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

// applyEntry brings one entry of a list into the table. It returns nil where the entry cannot be used: a worker that is
// gone and was not known, or one more than the limits allow.
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
		// An attempt under way to the process that left must go on seeing that it left.
		fresh := &workerState{number: number}
		if w != nil {
			fresh.Worker, fresh.started = w.Worker, w.started
		}
		w = fresh
		c.workers[number] = w
	}
	w.started = c.startTime(w, entry.StartedAtMs)
	if w.Address != "" && entry.State == "gone" { // its last entry may leave out where it was
		entry.Address, entry.Zone, entry.Kind, entry.Queue = w.Address, w.Zone, w.Kind, w.Queue
	}
	w.Worker, w.state = entry, state
	w.leaving.Store(state != decision.Ready)
	return w
}

// newNumber gives a worker that was not known the first free number from its own on.
func (c *Core) newNumber(name string) decision.WorkerID {
	number := workerNumber(name)
	for c.workers[number] != nil {
		number++
	}
	c.workerByName[name] = number
	return number
}

// startTime returns when a worker started on the core's clock, 0 where that is unknown. It is converted once for each
// start, lest steps of the calendar look like restarts. A start in the future counts as one now.
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

// workerNumber makes the module's number from a worker's name, alike at all dispatchers and after restarts: which worker
// a key has affinity to depends on it. Names end in eight hexadecimal digits; others are hashed.
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

// AffinityKey makes a job's affinity key from the words that say what it is about: the number itself where they are one
// of sixteen hexadecimal digits, else a hash. It is never 0.
func AffinityKey(words string) uint64 {
	if v, err := strconv.ParseUint(words, 16, 64); err == nil && len(words) == 16 && v != 0 {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(words))
	return max(h.Sum64(), 1)
}
