package operatorapi

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

var (
	runningResponse   = retireResponse(retireRunning)
	completedResponse = retireResponse(retireCompleted)
)

func retireResponse(state string) Response {
	body, err := json.Marshal(retireState{State: state})
	if err != nil {
		panic(err) // a struct of one string
	}
	return Response{Status: http.StatusOK, Body: body}
}

func (a *API) routeRetire(ctx context.Context, call cluster.OperatorRequest) (Response, error) {
	rest := strings.TrimPrefix(call.Path, pathRetire)
	if store, found := strings.CutSuffix(rest, retireStart); found && call.Method == http.MethodPost {
		return a.startRetire(ctx, store)
	}
	if store, found := strings.CutSuffix(rest, retireRead); found && call.Method == http.MethodGet {
		return a.readRetire(ctx, store)
	}
	return errorResponse(http.StatusNotFound, "no such call"), nil
}

// startRetire orders that a store gives away all its data. As many stores must stay as are needed after the tolerated
// losses.
func (a *API) startRetire(ctx context.Context, store string) (Response, error) {
	if err := a.options.Group.ReadBarrier(ctx); err != nil {
		return Response{}, err
	}
	var refusal error
	err := a.options.Editor.Edit(ctx, func(builder *placement.Builder) error {
		refusal = builder.StartRetire(store, 2*a.options.Tolerated+1)
		return nil // a refusal is answered after the table's other changes are in force
	})
	return startedResponse(refusal), err
}

// startedResponse is the answer to the order to empty a store, by what the placement said to it.
func startedResponse(refusal error) Response {
	var tooFew *placement.TooFewStoresError
	switch {
	case errors.Is(refusal, placement.ErrUnknownStore):
		return errorResponse(http.StatusNotFound, "no such store")
	case errors.As(refusal, &tooFew):
		text := fmt.Sprintf("%d active stores would remain, %d are needed", tooFew.Remaining, tooFew.Needed)
		return errorResponse(http.StatusConflict, text)
	}
	return emptyResponse(http.StatusOK)
}

// readRetire tells how far the newest job for a store is.
func (a *API) readRetire(ctx context.Context, store string) (Response, error) {
	if err := a.options.Group.ReadBarrier(ctx); err != nil {
		return Response{}, err
	}
	current := a.options.State.Current()
	job := controlstate.NewestJob(current.Jobs, store)
	if job == nil {
		return errorResponse(http.StatusNotFound, "no such job"), nil
	}
	if job.Outdated(current.Table.Store(store)) {
		err := a.options.Editor.Edit(ctx, func(builder *placement.Builder) error {
			builder.ResumeRetire(store)
			return nil
		})
		return runningResponse, err
	}
	if !job.Completed {
		return runningResponse, nil
	}
	return completedResponse, nil
}
