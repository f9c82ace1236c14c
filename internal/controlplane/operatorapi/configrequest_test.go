package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
)

// fakeGroup is a replicated group with one member: a proposed change is in force at once.
type fakeGroup struct {
	state           *controlstate.Machine
	durableErr      error // returned by DurableBarrier
	durableBarriers int   // number of calls of DurableBarrier
}

func (g *fakeGroup) Propose(_ context.Context, change []byte) error { return g.state.Apply(change) }

func (g *fakeGroup) ReadBarrier(context.Context) error { return nil }

func (g *fakeGroup) DurableBarrier(context.Context) error {
	g.durableBarriers++
	return g.durableErr
}

// newTestAPI returns an API on a fake group.
func newTestAPI() (*API, *fakeGroup) {
	state := controlstate.NewMachine()
	group := &fakeGroup{state: state}
	return New(Options{Group: group, State: state, Logger: zap.NewNop()}), group
}

func configurationOf(version int) string {
	return fmt.Sprintf("{\n \"version\" : %d,\"routes\":[],\"services\":[], \"note\":\"<&>\" }", version)
}

// replaceConfiguration requests to replace version `base` by the next version, and returns the HTTP status.
func (a *API) replaceConfiguration(t *testing.T, base int) int {
	t.Helper()
	call := cluster.OperatorRequest{Method: http.MethodPost, Path: pathReplace, BaseVersion: fmt.Sprint(base)}
	response, err := a.Serve(t.Context(), call, []byte(configurationOf(base+1)))
	assert.NilError(t, err)
	return response.Status
}

// TestRepeatedRequestIsAcknowledgedOnlyWhenEnoughDisksHoldIt repeats a request whose first copy is in force but was not
// acknowledged, because too few disks held it.
func TestRepeatedRequestIsAcknowledgedOnlyWhenEnoughDisksHoldIt(t *testing.T) {
	api, group := newTestAPI()
	assert.Equal(t, api.replaceConfiguration(t, 0), http.StatusOK)
	group.durableErr = errors.New("too few disks")
	assert.Equal(t, api.replaceConfiguration(t, 0), http.StatusServiceUnavailable)
	group.durableErr = nil
	assert.Equal(t, api.replaceConfiguration(t, 0), http.StatusOK)
	assert.Equal(t, group.durableBarriers, 2)
}

// TestRequestThatMayBeForgottenIsNotRejected repeats the first of more requests than are remembered, before and after a
// snapshot.
func TestRequestThatMayBeForgottenIsNotRejected(t *testing.T) {
	api, _ := newTestAPI()
	for base := range controlstate.MaxRememberedRequests + 1 {
		assert.Equal(t, api.replaceConfiguration(t, base), http.StatusOK)
	}
	for range 2 {
		assert.Equal(t, api.replaceConfiguration(t, 0), http.StatusServiceUnavailable, "it was applied and is no longer remembered")
		assert.Equal(t, api.replaceConfiguration(t, 1), http.StatusOK, "the oldest request that is remembered")
		assert.Equal(t, api.replaceConfiguration(t, controlstate.MaxRememberedRequests), http.StatusOK)
		rival := cluster.OperatorRequest{Method: http.MethodPost, Path: pathReplace, BaseVersion: fmt.Sprint(controlstate.MaxRememberedRequests)}
		response, err := api.Serve(t.Context(), rival, []byte(configurationOf(controlstate.MaxRememberedRequests+7)))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusPreconditionFailed)
		snapshot, err := api.options.State.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, api.options.State.Restore(snapshot))
	}
}

// TestRequestsOfSnapshotWithoutBasesAreNotRejected restores a snapshot in the format of a version that did not store
// the base versions of the remembered requests.
func TestRequestsOfSnapshotWithoutBasesAreNotRejected(t *testing.T) {
	api, _ := newTestAPI()
	for base := range controlstate.MaxRememberedRequests {
		assert.Equal(t, api.replaceConfiguration(t, base), http.StatusOK)
	}
	snapshot, err := api.options.State.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, api.options.State.Restore(withoutBases(t, snapshot)))
	assert.Equal(t, api.replaceConfiguration(t, controlstate.MaxRememberedRequests), http.StatusOK)
	assert.Equal(t, api.replaceConfiguration(t, 0), http.StatusServiceUnavailable)
}

// withoutBases removes the base versions of the remembered requests from a snapshot.
func withoutBases(t *testing.T, snapshot []byte) []byte {
	t.Helper()
	header, configuration, found := bytes.Cut(snapshot, []byte{'\n'})
	assert.Assert(t, found)
	members := map[string]json.RawMessage{}
	assert.NilError(t, json.Unmarshal(header, &members))
	assert.Assert(t, len(members["bases"]) > 0)
	delete(members, "bases")
	header, err := json.Marshal(members)
	assert.NilError(t, err)
	return append(append(header, '\n'), configuration...)
}
