package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// releasedSlots is the number of own slots below which a worker counts as free of jobs: sums of slots may be
// off by rounding.
const releasedSlots = 1e-9

// connectWindowDivisor gives the part of Settings.DrainCloseWithin for which an attempt that was given up
// may still bring up its connection. The other part is left for closing it.
const connectWindowDivisor = 2

// workerState is what this dispatcher knows of one listed worker. Each concern's part is declared
// beside its owner.
type workerState struct {
	Entry
	// unknownPlace: its kind or zone is none of the settings', so classes bound to kinds or zones avoid it.
	unknownPlace bool
	workerConnections
	workerHealth
	workerLoad
	slowStartTurn
}

// workerConnections is what is known of the idle connections to a worker.
type workerConnections struct {
	lastOKAt      time.Duration // when an attempt last left its connection usable
	lastBreakAt   time.Duration // when one last ended otherwise
	startedAtOnce bool          // it began its last job within a tick
	idleClosed    bool          // it drains, and its idle connections were closed since the last send or outcome
}

func newWorkerState(entry Entry) *workerState {
	return &workerState{
		Entry:             entry,
		workerConnections: workerConnections{lastBreakAt: longAgo},
		workerHealth:      workerHealth{slowness: 1},
		workerLoad:        workerLoad{peerSlotsAt: longAgo},
	}
}

// restart forgets what does not hold for a new process of the worker.
func (w *workerState) restart(now time.Duration) {
	w.unhealthy = false
	w.slowness = 1
	w.backoffUntil = 0
	w.slowStartTurn = slowStartTurn{}
	w.peerSlots = 0
	w.peerSlotsAt = now
}

// workerTable holds the listed workers, and those that have left while they still have jobs of this
// dispatcher.
type workerTable struct {
	settings *Settings
	byID     map[WorkerID]*workerState
	ordered  []*workerState // by id: no decision may depend on the order of a list
	weighted bool           // some worker's weight was ever not 1: lists tell of sizes
}

func newWorkerTable(settings *Settings) *workerTable {
	return &workerTable{settings: settings, byID: make(map[WorkerID]*workerState)}
}

// update takes a list that has not failed. After any but a delta, workers that are missing from it are Gone.
func (t *workerTable) update(event *Event, now time.Duration) {
	if event.List != ListDelta {
		for _, worker := range t.ordered {
			worker.State = Gone
		}
	}
	for _, entry := range event.Entries {
		t.updateEntry(entry, now)
	}
	maps.DeleteFunc(t.byID, func(_ WorkerID, worker *workerState) bool {
		return worker.State == Gone && worker.ownSlots < releasedSlots
	})
	t.ordered = slices.SortedFunc(maps.Values(t.byID), func(a, b *workerState) int {
		return cmp.Compare(a.Worker, b.Worker)
	})
	for _, worker := range t.ordered {
		t.weighted = t.weighted || worker.Weight != 1
	}
}

// updateEntry takes one line of a list. A later start than the known one is a new process.
func (t *workerTable) updateEntry(entry Entry, now time.Duration) {
	unknownPlace := entry.normalize(t.settings)
	worker := t.byID[entry.Worker]
	if worker == nil {
		worker = newWorkerState(entry)
		t.byID[entry.Worker] = worker
	}
	switch {
	case entry.State == Gone: // the last line of a worker may leave out where it stood
		entry.Zone = worker.Zone
		entry.Cell = worker.Cell
		entry.Kind = worker.Kind
		entry.Started = worker.Started
	case entry.Started > worker.Started:
		worker.restart(now)
	}
	worker.Entry = entry
	worker.unknownPlace = unknownPlace
}

// closeIdle closes the idle connections to a draining worker, once at the notice and once after each later
// outcome there. An attempt that was given up less than half of Settings.DrainCloseWithin ago may still
// bring up a connection: closing is then repeated after that time. A later drain counts anew.
func (t *workerTable) closeIdle(worker *workerState, now time.Duration, actions []Action) []Action {
	wasClosed := worker.idleClosed
	worker.idleClosed = t.settings.DrainCloseWithin > 0 && worker.State == Draining
	if wasClosed || !worker.idleClosed {
		return actions
	}
	actions = append(actions, Action{Kind: CloseIdle, Worker: worker.Worker})
	connectWindow := t.settings.DrainCloseWithin / connectWindowDivisor
	if now-worker.lastBreakAt < connectWindow {
		actions = append(actions, Action{Kind: SetTimer, Token: drainCloseToken, Delay: connectWindow})
	}
	return actions
}

// closeIdleAgain closes once more where an attempt ended badly at most Settings.DrainCloseWithin ago.
func (t *workerTable) closeIdleAgain(now time.Duration, actions []Action) []Action {
	for _, worker := range t.ordered {
		longEnded := now-worker.lastBreakAt > t.settings.DrainCloseWithin
		worker.idleClosed = worker.idleClosed && longEnded
		actions = t.closeIdle(worker, now, actions)
	}
	return actions
}

// closeIdleAfterOutcome closes the connection that the attempt left, if its worker drains.
func (t *workerTable) closeIdleAfterOutcome(
	worker *workerState, outcome Outcome, now time.Duration, actions []Action,
) []Action {
	worker.idleClosed = false
	if outcome != OK {
		worker.lastBreakAt = now
	}
	return t.closeIdle(worker, now, actions)
}
