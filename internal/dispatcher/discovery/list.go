package discovery

import (
	"bytes"
	"encoding/json"
	"log"
	"slices"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// The states of a list's entries that this package looks at.
const (
	stateReady = "ready"
	stateGone  = "gone"
)

// list is one object of a watch. Its entries are decoded one by one: one that cannot be read spoils no other.
type list struct {
	config.WorkerList
	Entries []json.RawMessage `json:"instances"`
}

// applyList passes on one object of a watch. newest is the highest version of this watch so far. An error ends the watch.
func (w *Watcher) applyList(text []byte, newest *int64, moves int) error {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	kind, generation, workers := decision.ListDelta, l.Generation, w.decodeEntries(l.Entries)
	switch {
	case w.isForeign(workers): // but one of ours may drain in an entry that does not say where it is
		w.logForeign.Do(func() {
			log.Printf("a list of %d workers, none of them of this deployment, is passed over: only who leaves counts", len(workers))
		})
		workers = leavingOnly(workers)
		for i := range workers {
			workers[i].State = stateGone // of foreign workers nothing is kept
		}
		generation = *newest
	case generation < *newest:
		// The newer one stays in use. A worker that was to leave may be told so twice, but never be spared for it.
		w.logOutdated.Do(func() {
			log.Printf("a list of version %d came after version %d: only who leaves counts", generation, *newest)
		})
		workers = leavingOnly(workers)
	case l.Reset:
		kind = decision.ListFull
	}
	*newest = max(*newest, generation)
	if !w.setGeneration(*newest, moves) {
		return errMoved
	}
	w.OnList(kind, workers)
	return nil
}

// decodeEntries reads the entries of a list. One that cannot be read counts as gone where it names its worker: where that
// is, or whether it leaves, is not known.
func (w *Watcher) decodeEntries(entries []json.RawMessage) []config.Worker {
	workers := make([]config.Worker, 0, len(entries))
	for _, entry := range entries {
		var worker config.Worker
		if err := json.Unmarshal(entry, &worker); err != nil || worker.ID == "" {
			w.logUnreadable.Do(func() {
				log.Printf("an entry of a list cannot be read, and counts as gone: %.200s (%v)", entry, err)
			})
			var named struct {
				ID string `json:"instanceId"`
			}
			if json.Unmarshal(entry, &named) != nil || named.ID == "" {
				continue
			}
			worker = config.Worker{ID: named.ID, State: stateGone}
		}
		workers = append(workers, worker)
	}
	return workers
}

// leavingOnly drops the ready workers of a list.
func leavingOnly(workers []config.Worker) []config.Worker {
	return slices.DeleteFunc(workers, func(w config.Worker) bool { return w.State == stateReady })
}

// isForeign returns whether a list has workers, and none of a kind and zone that the settings name.
func (w *Watcher) isForeign(workers []config.Worker) bool {
	if len(workers) == 0 || len(w.node.Zones) == 0 || len(w.node.Kinds) == 0 {
		return false
	}
	return !slices.ContainsFunc(workers, func(worker config.Worker) bool {
		return worker.State == stateGone || slices.Contains(w.node.Zones, worker.Zone) && slices.Contains(w.node.Kinds, worker.Kind)
	})
}

// completeEntries returns the entries that are complete in a list that broke off.
func completeEntries(text []byte) (workers []config.Worker) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.Token() // the brace
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil
		}
		if key != "instances" {
			var other json.RawMessage
			if decoder.Decode(&other) != nil {
				return nil
			}
			continue
		}
		decoder.Token() // the bracket
		for decoder.More() {
			var w config.Worker
			if decoder.Decode(&w) != nil || w.ID == "" {
				return workers
			}
			workers = append(workers, w)
		}
		return workers
	}
	return nil
}
