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

// retireState is the body of the response to a read of a retire job.
type retireState struct {
	State string `json:"state"`
}

// States of a retire job in responses to the operator.
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
		panic(err) // cannot happen: encoding a struct of one string does not fail
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

// startRetire starts the job that moves all data off a store. It is refused unless 2*ToleratedLosses+1 active stores
// remain, so that enough are left after the tolerated losses.
func (a *API) startRetire(ctx context.Context, store string) (Response, error) {
	if err := a.options.Group.ReadBarrier(ctx); err != nil {
		return Response{}, err
	}
	var refusal error
	err := a.options.Editor.Edit(ctx, func(builder *placement.Builder) error {
		refusal = builder.StartRetire(store, 2*a.options.ToleratedLosses+1)
		return nil // the table's other changes come into force before a refusal is returned
	})
	return startedResponse(refusal), err
}

// startedResponse returns the response to a request to retire a store, given the error of Builder.StartRetire.
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

// readRetire returns the state of a store's newest retire job. If the store has come back with another disk since that
// job completed, the store is retired again.
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
