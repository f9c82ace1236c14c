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

// standInGroup is a replicated group of one: what is proposed is in force at once.
type standInGroup struct {
	state   *controlstate.Machine
	durable error // what DurableBarrier says
	asked   int   // how often it was asked
}

func (g *standInGroup) Propose(_ context.Context, change []byte) error { return g.state.Apply(change) }

func (g *standInGroup) ReadBarrier(context.Context) error { return nil }

func (g *standInGroup) DurableBarrier(context.Context) error {
	g.asked++
	return g.durable
}

// apiOfOne returns the API of a group of one.
func apiOfOne() (*API, *standInGroup) {
	state := controlstate.NewMachine()
	alone := &standInGroup{state: state}
	return New(Options{Group: alone, State: state, Logger: zap.NewNop()}), alone
}

func configurationOf(version int) string {
	return fmt.Sprintf("{\n \"version\" : %d,\"routes\":[],\"services\":[], \"note\":\"<&>\" }", version)
}

// replaceOrder sends an order that replaces version `base` by the version after it, and returns the status.
func (a *API) replaceOrder(t *testing.T, base int) int {
	t.Helper()
	call := cluster.OperatorRequest{Method: http.MethodPost, Path: pathReplace, BaseVersion: fmt.Sprint(base)}
	response, err := a.Serve(t.Context(), call, []byte(configurationOf(base+1)))
	assert.NilError(t, err)
	return response.Status
}

// TestOrderSentAgainIsAcknowledgedOnlyWhereEnoughDisksHoldIt resends an order whose first copy is in force but was not
// acknowledged, as too few disks held it.
func TestOrderSentAgainIsAcknowledgedOnlyWhereEnoughDisksHoldIt(t *testing.T) {
	api, alone := apiOfOne()
	assert.Equal(t, api.replaceOrder(t, 0), http.StatusOK)
	alone.durable = errors.New("too few disks")
	assert.Equal(t, api.replaceOrder(t, 0), http.StatusServiceUnavailable)
	alone.durable = nil
	assert.Equal(t, api.replaceOrder(t, 0), http.StatusOK)
	assert.Equal(t, alone.asked, 2)
}

// TestOrderThatMayBeForgottenIsNotRefused sends the first of very many orders again, across a snapshot.
func TestOrderThatMayBeForgottenIsNotRefused(t *testing.T) {
	api, _ := apiOfOne()
	for base := range controlstate.MaxOrders + 1 {
		assert.Equal(t, api.replaceOrder(t, base), http.StatusOK)
	}
	for range 2 {
		assert.Equal(t, api.replaceOrder(t, 0), http.StatusServiceUnavailable, "it was taken, and is forgotten")
		assert.Equal(t, api.replaceOrder(t, 1), http.StatusOK, "the oldest that is remembered")
		assert.Equal(t, api.replaceOrder(t, controlstate.MaxOrders), http.StatusOK)
		rival := cluster.OperatorRequest{Method: http.MethodPost, Path: pathReplace, BaseVersion: fmt.Sprint(controlstate.MaxOrders)}
		response, err := api.Serve(t.Context(), rival, []byte(configurationOf(controlstate.MaxOrders+7)))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusPreconditionFailed)
		snapshot, err := api.options.State.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, api.options.State.Restore(snapshot))
	}
}

// TestSnapshotWithoutBasesForgetsNothingWrongly reads a snapshot of a version that kept no bases of the orders.
func TestSnapshotWithoutBasesForgetsNothingWrongly(t *testing.T) {
	api, _ := apiOfOne()
	for base := range controlstate.MaxOrders {
		assert.Equal(t, api.replaceOrder(t, base), http.StatusOK)
	}
	snapshot, err := api.options.State.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, api.options.State.Restore(withoutBases(t, snapshot)))
	assert.Equal(t, api.replaceOrder(t, controlstate.MaxOrders), http.StatusOK)
	assert.Equal(t, api.replaceOrder(t, 0), http.StatusServiceUnavailable)
}

// withoutBases takes the bases of the orders out of a snapshot.
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
