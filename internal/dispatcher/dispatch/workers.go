// The listed workers: their places and numbers.

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

// seat is what the core knows of one listed worker. leaving is read by the floor just before a send.
type seat struct {
	config.Worker
	number  decision.WorkerID
	started time.Duration
	state   decision.State
	leaving atomic.Bool
}

// list turns lines of the roster into the module's entries.
func (c *Core) list(kind decision.ListKind, workers []config.Worker) {
	ev := decision.Event{Kind: decision.EventList, List: kind}
	switch kind {
	case decision.ListFailed:
		c.Counters.ListFailures.Add(1)
	case decision.ListDelta:
		c.Counters.ListChanges.Add(1)
	default:
		c.Counters.ListChanges.Add(1)
		workers = append(workers[:len(workers):len(workers)], c.fixed...)
		there := map[string]bool{}
		for _, w := range workers {
			there[w.ID] = true
		}
		for _, s := range c.seats { // who is missing has left
			if !there[s.ID] {
				s.state = decision.Gone
				s.leaving.Store(true)
			}
		}
	}
	for _, w := range workers {
		if s := c.sit(w); s != nil {
			ev.Entries = append(ev.Entries, decision.Entry{Worker: s.number, Started: s.started, Cell: w.Cell,
				Zone: s.zone(c.node), Kind: s.kind(c.node), Weight: w.Weight, State: s.state})
		}
	}
	held := map[decision.WorkerID]bool{}
	for _, j := range c.jobs {
		for _, a := range j.tries {
			held[a.seat.number] = held[a.seat.number] || !a.ended
		}
	}
	var count [3]int
	for id, s := range c.seats {
		if s.state == decision.Gone && !held[id] {
			delete(c.seats, id)
			delete(c.byName, s.ID)
			continue
		}
		count[s.state]++
	}
	c.workers.Store(&count)
	c.handle(&ev)
}

// sit brings one line of the roster into the table; nil where it cannot be used.
func (c *Core) sit(w config.Worker) *seat {
	state, ok := map[string]decision.State{"ready": decision.Ready, "draining": decision.Draining, "gone": decision.Gone}[w.State]
	if !ok {
		state = decision.Draining // an unknown state is none to send to
	}
	id, known := c.byName[w.ID]
	if !known {
		if state == decision.Gone || len(c.seats) >= c.lim.Workers {
			return nil
		}
		for id = number(w.ID); c.seats[id] != nil; id++ {
		}
		c.byName[w.ID] = id
	}
	s := c.seats[id]
	if s == nil || state == decision.Ready && s.leaving.Load() {
		// An attempt under way to the process that left must go on seeing that it left.
		fresh := &seat{number: id}
		if s != nil {
			fresh.Worker, fresh.started = s.Worker, s.started
		}
		s = fresh
		c.seats[id] = s
	}
	if w.StartedAtMs <= 0 {
		s.started = 0
	} else if w.StartedAtMs != s.StartedAtMs {
		// Converted once for each start, lest steps of the calendar look like restarts. A start in the future
		// counts as one now.
		ago := max(time.Since(time.UnixMilli(w.StartedAtMs)), 0)
		s.started = max(c.now()-ago, 0)
	}
	if s.Address != "" && w.State == "gone" { // its last line may leave out where it stood
		w.Address, w.Zone, w.Kind, w.Queue = s.Address, s.Zone, s.Kind, s.Queue
	}
	s.Worker, s.state = w, state
	s.leaving.Store(state != decision.Ready)
	return s
}

func (s *seat) zone(n *config.Node) int { return config.Index(n.Zones, s.Zone) }
func (s *seat) kind(n *config.Node) int { return config.Index(n.Kinds, s.Kind) }

// number makes the module's id from a worker's name, alike at all dispatchers and after restarts: the pools hang
// on it. Names end in eight hexadecimal digits; others are hashed.
func number(name string) decision.WorkerID {
	if at := strings.LastIndexByte(name, '-'); at >= 0 && len(name)-at == 9 {
		if v, err := strconv.ParseUint(name[at+1:], 16, 32); err == nil {
			return decision.WorkerID(v)
		}
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return decision.WorkerID(h.Sum32())
}

// Subject makes the module's key from the words that say what a job is about.
func AffinityKey(words string) uint64 {
	if v, err := strconv.ParseUint(words, 16, 64); err == nil && len(words) == 16 && v != 0 {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(words))
	return max(h.Sum64(), 1)
}
