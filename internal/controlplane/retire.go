package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"ivyfold/internal/cluster"
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
	if findJob(d.jobs, store, entry.DiskID) != nil {
		return emptyAnswer(http.StatusOK)
	}
	if left := d.activeStoresBeside(store); left < remaining {
		text := fmt.Sprintf("%d active stores would remain, %d are needed", left, remaining)
		return errorAnswer(http.StatusConflict, text)
	}
	d.jobs = append(d.jobs, retireJob{Store: store, DiskID: entry.DiskID})
	return emptyAnswer(http.StatusOK)
}

func (d *draft) activeStoresBeside(store string) int {
	count := 0
	for _, entry := range d.stores {
		takesPart := entry.State == cluster.StoreActive || entry.State == cluster.StoreLeaving
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
	jobs := p.state.current.Load().jobs
	for i := len(jobs) - 1; i >= 0; i-- {
		if jobs[i].Store == store {
			return retireAnswer(jobs[i])
		}
	}
	return errorAnswer(http.StatusNotFound, "no such job"), nil
}

func retireAnswer(job retireJob) (answer, error) {
	state := retireState{State: retireRunning}
	if job.Completed {
		state.State = retireCompleted
	}
	body, err := json.Marshal(state)
	return answer{status: http.StatusOK, body: body}, err
}
