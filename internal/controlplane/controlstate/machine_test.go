package controlstate

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func apply(t *testing.T, machine *Machine, change Change) {
	t.Helper()
	record, err := change.Encode()
	assert.NilError(t, err)
	assert.NilError(t, machine.Apply(record))
}

func configurationOf(version int) string {
	return fmt.Sprintf("{\n \"version\" : %d,\"routes\":[],\"services\":[], \"note\":\"<&>\" }", version)
}

func replaceChange(digest string, base uint64, version int) Change {
	return Change{Config: &ConfigChange{Digest: digest, Base: base, Body: []byte(configurationOf(version))}}
}

func TestRequestWithOutdatedBaseIsNotApplied(t *testing.T) {
	machine := NewMachine()
	apply(t, machine, replaceChange("a", 0, 5))
	apply(t, machine, replaceChange("b", 0, 6))
	assert.Equal(t, machine.Current().ConfigVersion(), uint64(5))
	assert.Assert(t, machine.Accepted("a"))
	assert.Assert(t, !machine.Accepted("b"))
	assert.Equal(t, string(machine.Current().Document.JSON()), configurationOf(5))
}

func TestTableChangeWithOutdatedBaseIsNotApplied(t *testing.T) {
	machine := NewMachine()
	change := Change{Table: &TableChange{ID: "1", TableChange: cluster.TableChange{ReplicationFactor: 2}}}
	apply(t, machine, change)
	change.Table.ID, change.Table.ReplicationFactor = "2", 3
	apply(t, machine, change)
	current := machine.Current()
	assert.Equal(t, current.Table.ReplicationFactor, 2)
	assert.Equal(t, current.Table.Revision, uint64(1))
	assert.Equal(t, current.LastChangeID, "1")
}

func TestRestoredSnapshotLosesNoState(t *testing.T) {
	machine := NewMachine()
	apply(t, machine, replaceChange("a", 0, 5))
	apply(t, machine, Change{Table: &TableChange{
		TableChange: cluster.TableChange{Stores: []cluster.StoreEntry{{Name: "s"}}},
		Jobs:        []RetireJob{{Store: "s", DiskID: "d"}},
	}})
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	restored := NewMachine()
	assert.NilError(t, restored.Restore(snapshot))
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(snapshot))
	assert.Assert(t, restored.Accepted("a"))
	assert.Equal(t, string(restored.Current().Document.JSON()), configurationOf(5))
	assert.DeepEqual(t, restored.Current().Table, machine.Current().Table)
	assert.Equal(t, len(restored.Current().Jobs), 1)
}

func TestRememberedRequestsAreBounded(t *testing.T) {
	machine := NewMachine()
	for version := range MaxRememberedRequests + 1 {
		apply(t, machine, replaceChange(fmt.Sprint(version), uint64(version), version+1))
	}
	assert.Assert(t, !machine.Accepted("0"))
	assert.Assert(t, machine.Accepted("1"))
	assert.Equal(t, len(machine.Current().digests), MaxRememberedRequests)
	assert.Equal(t, len(machine.digests), MaxRememberedRequests)
}
