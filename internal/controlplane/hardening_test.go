package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/controlplane/syncutil"
)

// standInGroup is a replicated group of one: what is proposed is in force at once.
type standInGroup struct {
	group
	state   *controlstate.Machine
	durable error // what ConfirmDurable says
	asked   int   // how often it was asked
}

func (g *standInGroup) Propose(_ context.Context, change []byte) error { return g.state.Apply(change) }

func (g *standInGroup) Confirm(context.Context) error { return nil }

func (g *standInGroup) ConfirmDurable(context.Context) error {
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
	call := cluster.OperatorCall{Method: http.MethodPost, Path: pathReplace, Base: fmt.Sprint(base)}
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
		rival := cluster.OperatorCall{Method: http.MethodPost, Path: pathReplace, Base: fmt.Sprint(controlstate.MaxOrders)}
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

func silentManager(tolerated int, begin time.Time) *memberManager {
	return &memberManager{
		plane:     &Plane{options: Options{Info: cluster.NodeInfo{DiskID: "d-m-0"}, Tolerated: tolerated}},
		lastAlive: map[string]time.Time{}, leadingSince: begin,
	}
}

// TestJoiningProcessTakesThePlaceOfASilentMember replaces a machine by an empty one at another address: the group must
// not grow by a member that is gone.
func TestJoiningProcessTakesThePlaceOfASilentMember(t *testing.T) {
	members, nodes := membersOf(5)
	begin := time.Now()
	manager := silentManager(2, begin)
	manager.noteAlive(members, nodes, begin)
	view := replication.View{Members: members}
	nodes["successor"] = coreNode("successor", "new")
	change := manager.plan(view, nodes, begin)
	assert.Equal(t, change.remove, "", "all members are alive")
	delete(nodes, "m-3")
	soon := begin.Add(replaceableAfter / 2)
	manager.noteAlive(members, nodes, soon)
	assert.Assert(t, manager.plan(view, nodes, soon) == nil, "the member may be back at once")
	late := begin.Add(replaceableAfter)
	manager.noteAlive(members, nodes, late)
	change = manager.plan(view, nodes, late)
	assert.Equal(t, change.remove, "d-m-3")
	assert.Equal(t, change.add.DiskID, "new")
	assert.Equal(t, manager.plan(replication.View{Members: members[:4]}, nodes, late).remove, "", "the group is too small")
}

// TestGroupKeepsAMajorityAfterToleratedLosses checks every size of a group and every number of tolerated losses: members
// are never removed so far that further losses could leave no majority.
func TestGroupKeepsAMajorityAfterToleratedLosses(t *testing.T) {
	for tolerated := range 4 {
		for size := 3; size <= memberCountLimit; size++ {
			members, nodes := membersOf(size)
			begin := time.Now()
			manager := silentManager(tolerated, begin)
			for lost := range min(tolerated, size-1) {
				delete(nodes, members[size-1-lost].Name)
			}
			now := begin.Add(memberSilenceLimit + time.Second)
			for {
				manager.noteAlive(members, nodes, now)
				change := manager.planRemoval(replication.View{Members: members}, now)
				if change == nil {
					break
				}
				members = membersWithout(members, change.remove)
			}
			assert.Assert(t, len(members) >= min(size, 2*tolerated+1), "%d left of %d, %d may be lost", len(members), size, tolerated)
		}
	}
}

func membersWithout(members []replication.Member, diskID string) []replication.Member {
	var left []replication.Member
	for _, member := range members {
		if member.DiskID != diskID {
			left = append(left, member)
		}
	}
	return left
}
