package controlplane

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
	"gladepick/internal/controlplane/syncutil"
)

// standInGroup is a replicated group of one: what is proposed is in force at once.
type standInGroup struct {
	group
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

func planeOfOne() (*Plane, *standInGroup) {
	state := controlstate.NewMachine()
	alone := &standInGroup{state: state}
	return &Plane{state: state, member: localMember{group: alone}, orders: syncutil.NewSemaphore(), logger: zap.NewNop()}, alone
}

func configurationOf(version int) string {
	return fmt.Sprintf("{\n \"version\" : %d,\"routes\":[],\"services\":[], \"note\":\"<&>\" }", version)
}

// replaceOrder is an order that replaces version `base` by the version after it.
func (p *Plane) replaceOrder(t *testing.T, base int) int {
	t.Helper()
	call := cluster.OperatorRequest{Method: http.MethodPost, Path: pathReplace, BaseVersion: fmt.Sprint(base)}
	result, err := p.takeOrder(t.Context(), call, false, []byte(configurationOf(base+1)))
	if err != nil {
		result, err = p.failedOrder(err)
		assert.NilError(t, err)
	}
	return result.status
}

// TestOrderSentAgainIsAcknowledgedOnlyWhereEnoughDisksHoldIt resends an order whose first copy is in force but was not
// acknowledged, as too few disks held it.
func TestOrderSentAgainIsAcknowledgedOnlyWhereEnoughDisksHoldIt(t *testing.T) {
	plane, alone := planeOfOne()
	assert.Equal(t, plane.replaceOrder(t, 0), http.StatusOK)
	alone.durable = errors.New("too few disks")
	assert.Equal(t, plane.replaceOrder(t, 0), http.StatusServiceUnavailable)
	alone.durable = nil
	assert.Equal(t, plane.replaceOrder(t, 0), http.StatusOK)
	assert.Equal(t, alone.asked, 2)
}

// TestOrderThatMayBeForgottenIsNotRefused sends the first of very many orders again, across a snapshot.
func TestOrderThatMayBeForgottenIsNotRefused(t *testing.T) {
	plane, _ := planeOfOne()
	for base := range controlstate.MaxOrders + 1 {
		assert.Equal(t, plane.replaceOrder(t, base), http.StatusOK)
	}
	for range 2 {
		assert.Equal(t, plane.replaceOrder(t, 0), http.StatusServiceUnavailable, "it was taken, and is forgotten")
		assert.Equal(t, plane.replaceOrder(t, 1), http.StatusOK, "the oldest that is remembered")
		assert.Equal(t, plane.replaceOrder(t, controlstate.MaxOrders), http.StatusOK)
		rival := cluster.OperatorRequest{Method: http.MethodPost, Path: pathReplace, BaseVersion: fmt.Sprint(controlstate.MaxOrders)}
		result, err := plane.takeOrder(t.Context(), rival, false, []byte(configurationOf(controlstate.MaxOrders+7)))
		assert.NilError(t, err)
		assert.Equal(t, result.status, http.StatusPreconditionFailed)
		snapshot, err := plane.state.Snapshot()
		assert.NilError(t, err)
		assert.NilError(t, plane.state.Restore(snapshot))
	}
}

// TestSnapshotWithoutBasesForgetsNothingWrongly reads a snapshot of a version that kept no bases of the orders.
func TestSnapshotWithoutBasesForgetsNothingWrongly(t *testing.T) {
	plane, _ := planeOfOne()
	for base := range controlstate.MaxOrders {
		assert.Equal(t, plane.replaceOrder(t, base), http.StatusOK)
	}
	snapshot, err := plane.state.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, plane.state.Restore(withoutBases(t, snapshot)))
	assert.Equal(t, plane.replaceOrder(t, controlstate.MaxOrders), http.StatusOK)
	assert.Equal(t, plane.replaceOrder(t, 0), http.StatusServiceUnavailable)
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
