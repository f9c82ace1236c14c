package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// retireState is the body of the answer to a question about a retiring store.
type retireState struct {
	State string `json:"state"`
}

// The states of a retire job as the operator reads them.
const (
	retireRunning   = "running"
	retireCompleted = "completed"
)

func (p *Plane) serveRetire(ctx context.Context, call cluster.OperatorCall) (answer, error) {
	rest := strings.TrimPrefix(call.Path, pathRetire)
	if store, found := strings.CutSuffix(rest, retireStart); found && call.Method == http.MethodPost {
		return p.startRetire(ctx, store)
	}
	if store, found := strings.CutSuffix(rest, retireRead); found && call.Method == http.MethodGet {
		return p.readRetire(ctx, store)
	}
	return errorAnswer(http.StatusNotFound, "no such call"), nil
}

// startRetire orders that a store is to be emptied.
func (p *Plane) startRetire(ctx context.Context, store string) (answer, error) {
	if err := p.group.Confirm(ctx); err != nil {
		return answer{}, err
	}
	result := emptyAnswer(http.StatusOK)
	err := p.manager.edit(ctx, func(draft *draft) error {
		result = draft.startRetire(store, 2*p.options.Tolerated+1)
		return nil
	})
	return result, err
}

// startRetire adds the job to the draft. At least `remaining` active stores must be left.
func (d *draft) startRetire(store string, remaining int) answer {
	entry := d.store(store)
	if entry == nil {
		return errorAnswer(http.StatusNotFound, "no such store")
	}
	if controlstate.FindJob(d.jobs, store, entry.DiskID) != nil {
		return emptyAnswer(http.StatusOK)
	}
	if left := d.activeStoresBeside(store); left < remaining {
		text := fmt.Sprintf("%d active stores would remain, %d are needed", left, remaining)
		return errorAnswer(http.StatusConflict, text)
	}
	d.jobs = append(d.jobs, controlstate.RetireJob{Store: store, DiskID: entry.DiskID})
	return emptyAnswer(http.StatusOK)
}

// carryRetire goes on emptying a store that has come back with another disk before it was emptied.
func (d *draft) carryRetire(store, diskID string) {
	job := controlstate.NewestJob(d.jobs, store)
	if job != nil && !job.Completed && job.DiskID != diskID {
		d.jobs = append(d.jobs, controlstate.RetireJob{Store: store, DiskID: diskID})
	}
}

// resumeRetire empties a store again that has come back with another disk while its operator waits for its end: it would
// be taken away with what it was given meanwhile.
func (d *draft) resumeRetire(store string) error {
	job, entry := controlstate.NewestJob(d.jobs, store), d.store(store)
	if job != nil && job.Outdated(entry) {
		d.jobs = append(d.jobs, controlstate.RetireJob{Store: store, DiskID: entry.DiskID})
	}
	return nil
}

func (d *draft) activeStoresBeside(store string) int {
	count := 0
	for _, entry := range d.stores {
		takesPart := entry.State == cluster.StoreActive || entry.State == cluster.StoreDraining
		if entry.Name != store && takesPart {
			count++
		}
	}
	return count
}

// readRetire tells how far the newest job for a store is.
func (p *Plane) readRetire(ctx context.Context, store string) (answer, error) {
	if err := p.group.Confirm(ctx); err != nil {
		return answer{}, err
	}
	current := p.state.Current()
	job := controlstate.NewestJob(current.Jobs, store)
	if job == nil {
		return errorAnswer(http.StatusNotFound, "no such job"), nil
	}
	if job.Outdated(current.Table.Store(store)) {
		err := p.manager.edit(ctx, func(draft *draft) error { return draft.resumeRetire(store) })
		return runningAnswer, err
	}
	if !job.Completed {
		return runningAnswer, nil
	}
	return completedAnswer, nil
}

var (
	runningAnswer   = retireAnswer(retireRunning)
	completedAnswer = retireAnswer(retireCompleted)
)

func retireAnswer(state string) answer {
	body, err := json.Marshal(retireState{State: state})
	if err != nil {
		panic(err) // a struct of one string
	}
	return answer{status: http.StatusOK, body: body}
}
