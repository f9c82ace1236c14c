package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/placement"
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

func (p *Plane) serveRetire(ctx context.Context, call cluster.OperatorRequest) (answer, error) {
	rest := strings.TrimPrefix(call.Path, pathRetire)
	if store, found := strings.CutSuffix(rest, retireStart); found && call.Method == http.MethodPost {
		return p.startRetire(ctx, store)
	}
	if store, found := strings.CutSuffix(rest, retireRead); found && call.Method == http.MethodGet {
		return p.readRetire(ctx, store)
	}
	return errorAnswer(http.StatusNotFound, "no such call"), nil
}

// startRetire orders that a store gives away all its data. As many stores must stay as are needed after the tolerated
// losses.
func (p *Plane) startRetire(ctx context.Context, store string) (answer, error) {
	if err := p.member.ReadBarrier(ctx); err != nil {
		return answer{}, err
	}
	var refusal error
	err := p.manager.Edit(ctx, func(builder *placement.Builder) error {
		refusal = builder.StartRetire(store, 2*p.options.Tolerated+1)
		return nil // a refusal is answered after the table's other changes are in force
	})
	return startedAnswer(refusal), err
}

// startedAnswer is the answer to the order to empty a store, by what the placement said to it.
func startedAnswer(refusal error) answer {
	var tooFew *placement.TooFewStoresError
	switch {
	case errors.Is(refusal, placement.ErrUnknownStore):
		return errorAnswer(http.StatusNotFound, "no such store")
	case errors.As(refusal, &tooFew):
		text := fmt.Sprintf("%d active stores would remain, %d are needed", tooFew.Remaining, tooFew.Needed)
		return errorAnswer(http.StatusConflict, text)
	}
	return emptyAnswer(http.StatusOK)
}

// readRetire tells how far the newest job for a store is.
func (p *Plane) readRetire(ctx context.Context, store string) (answer, error) {
	if err := p.member.ReadBarrier(ctx); err != nil {
		return answer{}, err
	}
	current := p.state.Current()
	job := controlstate.NewestJob(current.Jobs, store)
	if job == nil {
		return errorAnswer(http.StatusNotFound, "no such job"), nil
	}
	if job.Outdated(current.Table.Store(store)) {
		err := p.manager.Edit(ctx, func(builder *placement.Builder) error {
			builder.ResumeRetire(store)
			return nil
		})
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
