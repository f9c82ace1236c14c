package discovery

import (
	"bytes"
	"encoding/json"
	"log"
	"slices"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// The lifecycle states of list entries that this package interprets.
const (
	stateReady = "ready"
	stateGone  = "gone"
)

// list is one object of a watch. Its entries are decoded one by one, so that an unreadable entry does not affect the
// others.
type list struct {
	config.WorkerList
	Entries []json.RawMessage `json:"instances"`
}

// applyList passes one object of a watch to OnList. newest holds the highest version of this watch so far. An error
// ends the watch.
func (w *Watcher) applyList(text []byte, newest *int64, addressVersion int) error {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	kind, generation, workers := decision.ListDelta, l.Generation, w.decodeEntries(l.Entries)
	switch {
	case w.isForeign(workers): // a draining entry without zone and kind may still be a worker of this deployment
		w.logForeign.Do(func() {
			log.Printf("ignoring the ready workers of a list of %d workers, because none belongs to this deployment", len(workers))
		})
		workers = leavingOnly(workers)
		for i := range workers {
			workers[i].State = stateGone // workers of other deployments are not kept in the table
		}
		generation = *newest
	case generation < *newest:
		// The newer list stays in effect. The entries of leaving workers are applied nevertheless: a drain that is
		// announced twice does no harm, but a missed one does.
		w.logOutdated.Do(func() {
			log.Printf("ignoring the ready workers of a list of version %d, which came after version %d", generation, *newest)
		})
		workers = leavingOnly(workers)
	case l.Reset:
		kind = decision.ListFull
	}
	*newest = max(*newest, generation)
	if !w.setGeneration(*newest, addressVersion) {
		return errAddressChanged
	}
	w.OnList(kind, workers)
	return nil
}

// decodeEntries decodes the entries of a list. An unreadable entry that names its worker counts as gone, because the
// worker's address and state are unknown. One without a name is skipped.
func (w *Watcher) decodeEntries(entries []json.RawMessage) []config.Worker {
	workers := make([]config.Worker, 0, len(entries))
	for _, entry := range entries {
		var worker config.Worker
		if err := json.Unmarshal(entry, &worker); err != nil || worker.ID == "" {
			w.logUnreadable.Do(func() {
				log.Printf("unreadable entry in a list of workers, treating the worker as gone: %.200s (%v)", entry, err)
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

// leavingOnly removes the ready workers from a list.
func leavingOnly(workers []config.Worker) []config.Worker {
	return slices.DeleteFunc(workers, func(w config.Worker) bool { return w.State == stateReady })
}

// isForeign reports whether a list belongs to another deployment: it has workers, none of them is gone, and none has a
// kind and a zone that the settings name.
func (w *Watcher) isForeign(workers []config.Worker) bool {
	if len(workers) == 0 || len(w.node.Zones) == 0 || len(w.node.Kinds) == 0 {
		return false
	}
	return !slices.ContainsFunc(workers, func(worker config.Worker) bool {
		return worker.State == stateGone || slices.Contains(w.node.Zones, worker.Zone) && slices.Contains(w.node.Kinds, worker.Kind)
	})
}

// completeEntries returns the entries of a truncated list that are complete.
func completeEntries(text []byte) (workers []config.Worker) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.Token() // the opening brace
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
		decoder.Token() // the opening bracket
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
