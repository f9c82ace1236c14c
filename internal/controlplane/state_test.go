package controlplane

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func apply(t *testing.T, machine *stateMachine, change change) {
	t.Helper()
	record, err := change.encode()
	assert.NilError(t, err)
	assert.NilError(t, machine.Apply(record))
}

func configurationOf(version int) string {
	return fmt.Sprintf("{\n \"version\" : %d,\"routes\":[],\"services\":[], \"note\":\"<&>\" }", version)
}

func replaceChange(digest string, base uint64, version int) change {
	return change{Order: &orderChange{Digest: digest, Base: base, Body: []byte(configurationOf(version))}}
}

func TestOrdersAreAppliedOnTheirBaseOnly(t *testing.T) {
	machine := newStateMachine()
	apply(t, machine, replaceChange("a", 0, 5))
	apply(t, machine, replaceChange("b", 0, 6))
	assert.Equal(t, machine.current.Load().version(), uint64(5))
	assert.Assert(t, machine.accepted("a"))
	assert.Assert(t, !machine.accepted("b"))
	assert.Equal(t, string(machine.current.Load().document.JSON()), configurationOf(5))
}

func TestTableChangesAreAppliedOnTheirBaseOnly(t *testing.T) {
	machine := newStateMachine()
	change := change{Table: &tableChange{ID: "1", TableChange: cluster.TableChange{Copies: 2}}}
	apply(t, machine, change)
	change.Table.ID, change.Table.Copies = "2", 3
	apply(t, machine, change)
	current := machine.current.Load()
	assert.Equal(t, current.table.Copies, 2)
	assert.Equal(t, current.table.Revision, uint64(1))
	assert.Equal(t, current.changeID, "1")
}

func TestSnapshotHoldsTheWholeState(t *testing.T) {
	machine := newStateMachine()
	apply(t, machine, replaceChange("a", 0, 5))
	apply(t, machine, change{Table: &tableChange{
		TableChange: cluster.TableChange{Stores: []cluster.StoreEntry{{Name: "s"}}},
		Jobs:        []retireJob{{Store: "s", DiskID: "d"}},
	}})
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	restored := newStateMachine()
	assert.NilError(t, restored.Restore(snapshot))
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(snapshot))
	assert.Assert(t, restored.accepted("a"))
	assert.Equal(t, string(restored.current.Load().document.JSON()), configurationOf(5))
	assert.DeepEqual(t, restored.current.Load().table, machine.current.Load().table)
	assert.Equal(t, len(restored.current.Load().jobs), 1)
}

func TestOldestOrdersAreForgotten(t *testing.T) {
	machine := newStateMachine()
	for version := range ordersRemembered + 1 {
		apply(t, machine, replaceChange(fmt.Sprint(version), uint64(version), version+1))
	}
	assert.Assert(t, !machine.accepted("0"))
	assert.Assert(t, machine.accepted("1"))
	assert.Equal(t, len(machine.current.Load().orders), ordersRemembered)
	assert.Equal(t, len(machine.orders), ordersRemembered)
}

func TestDigestsAreAlikeForOneValue(t *testing.T) {
	call := cluster.OperatorCall{Method: "POST", Path: pathReplace}
	digest := func(base uint64, body string) string {
		value, err := orderDigest(call, base, []byte(body))
		assert.NilError(t, err)
		return value
	}
	first := digest(1, `{"a":90,"b":[1.50,"x"],"big":12345678901234567890}`)
	assert.Equal(t, first, digest(1, ` {"b":[1.5,"x"],"big":12345678901234567890, "a":90.0} `))
	assert.Assert(t, first != digest(2, `{"a":90,"b":[1.5,"x"],"big":12345678901234567890}`))
	assert.Assert(t, first != digest(1, `{"a":90,"b":["x",1.5],"big":12345678901234567890}`))
	assert.Assert(t, first != digest(1, `{"a":90,"b":[1.5,"x"],"big":12345678901234567891}`))
	_, err := orderDigest(call, 1, []byte(`{"a":1} {}`))
	assert.Assert(t, err != nil)
}
