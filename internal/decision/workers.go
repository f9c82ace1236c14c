package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// slotsEpsilon is the number of own slots below which a worker counts as having no jobs. Sums of slots have
// rounding errors.
const slotsEpsilon = 1e-9

// connectWindowDivisor gives the part of Settings.DrainCloseWithin during which a connection of an abandoned
// attempt may still be established. The remaining part is for closing it.
const connectWindowDivisor = 2

// workerState is the state of a listed worker. Each embedded part belongs to one component and is declared
// next to it.
type workerState struct {
	Entry
	// unknownPlacement reports that the kind or zone is not among those of the settings. Classes that are
	// restricted to kinds or zones avoid the worker.
	unknownPlacement bool
	workerConnections
	workerHealth
	workerLoad
	slowStartPermit
}

// workerConnections is what is known about the idle connections to a worker.
type workerConnections struct {
	lastOKAt        time.Duration // when an attempt last left a usable connection
	lastFailureAt   time.Duration // when an attempt last ended with another outcome
	startedPromptly bool          // the last job started within a tick
	// idleClosed: the worker is draining, and its idle connections have been closed since the last send or
	// outcome.
	idleClosed bool
}

func newWorkerState(entry Entry) *workerState {
	return &workerState{
		Entry:             entry,
		workerConnections: workerConnections{lastFailureAt: longAgo},
		workerHealth:      workerHealth{slowness: 1},
		workerLoad:        workerLoad{peerSlotsAt: longAgo},
	}
}

// restart resets the state that does not apply to a new process of the worker.
func (w *workerState) restart(now time.Duration) {
	w.unhealthy = false
	w.slowness = 1
	w.backoffUntil = 0
	w.slowStartPermit = slowStartPermit{}
	w.peerSlots = 0
	w.peerSlotsAt = now
}

// workerTable holds the listed workers, and workers that have left but still have jobs of this dispatcher.
type workerTable struct {
	settings *Settings
	byID     map[WorkerID]*workerState
	ordered  []*workerState // by ID, so that decisions do not depend on the order of a list
	weighted bool           // some weight has been other than 1: lists contain sizes
}

func newWorkerTable(settings *Settings) *workerTable {
	return &workerTable{settings: settings, byID: make(map[WorkerID]*workerState)}
}

// update applies a list that has not failed. Workers that are missing from it are Gone, unless it is a delta.
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
		return worker.State == Gone && worker.ownSlots < slotsEpsilon
	})
	t.ordered = slices.SortedFunc(maps.Values(t.byID), func(a, b *workerState) int {
		return cmp.Compare(a.Worker, b.Worker)
	})
	for _, worker := range t.ordered {
		t.weighted = t.weighted || worker.Weight != 1
	}
}

// updateEntry applies one entry of a list. A later start time than the known one means a new process.
func (t *workerTable) updateEntry(entry Entry, now time.Duration) {
	unknownPlacement := entry.normalize(t.settings)
	worker := t.byID[entry.Worker]
	if worker == nil {
		worker = newWorkerState(entry)
		t.byID[entry.Worker] = worker
	}
	switch {
	case entry.State == Gone: // the last entry of a worker may omit its placement
		entry.Zone = worker.Zone
		entry.Cell = worker.Cell
		entry.Kind = worker.Kind
		entry.Started = worker.Started
	case entry.Started > worker.Started:
		worker.restart(now)
	}
	worker.Entry = entry
	worker.unknownPlacement = unknownPlacement
}

// closeIdle closes the idle connections to a draining worker, once when the drain is announced and once after
// each later outcome. If an attempt failed less than half of Settings.DrainCloseWithin ago, its connection
// may still be established, and closeIdle schedules another close after that time. A later drain starts over.
func (t *workerTable) closeIdle(worker *workerState, now time.Duration, actions []Action) []Action {
	wasClosed := worker.idleClosed
	worker.idleClosed = t.settings.DrainCloseWithin > 0 && worker.State == Draining
	if wasClosed || !worker.idleClosed {
		return actions
	}
	actions = append(actions, Action{Kind: CloseIdle, Worker: worker.Worker})
	connectWindow := t.settings.DrainCloseWithin / connectWindowDivisor
	if now-worker.lastFailureAt < connectWindow {
		actions = append(actions, Action{Kind: SetTimer, Token: drainCloseToken, Delay: connectWindow})
	}
	return actions
}

// closeIdleAgain repeats the close for each draining worker at which an attempt failed at most
// Settings.DrainCloseWithin ago.
func (t *workerTable) closeIdleAgain(now time.Duration, actions []Action) []Action {
	for _, worker := range t.ordered {
		longEnded := now-worker.lastFailureAt > t.settings.DrainCloseWithin
		worker.idleClosed = worker.idleClosed && longEnded
		actions = t.closeIdle(worker, now, actions)
	}
	return actions
}

// closeIdleAfterOutcome closes the connection that the attempt left, if its worker is draining.
func (t *workerTable) closeIdleAfterOutcome(
	worker *workerState, outcome Outcome, now time.Duration, actions []Action,
) []Action {
	worker.idleClosed = false
	if outcome != OK {
		worker.lastFailureAt = now
	}
	return t.closeIdle(worker, now, actions)
}
