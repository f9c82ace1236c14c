package controlstate

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/cluster"
)

// The golden files in testdata are in the formats that released versions have written to disks. They were generated
// once by the flag -update, and are never edited.

// goldenTable is a cluster table with every field set.
func goldenTable() *cluster.Table {
	return &cluster.Table{
		Revision: 7,
		Primary:  "front-0",
		ControlGroup: []cluster.ControlMember{
			{Name: "front-0", Address: "10.0.0.1:7240", DiskID: "disk-f0", Zone: "zone-0"},
			{Name: "front-1", Address: "10.0.0.2:7240", DiskID: "disk-f1"},
		},
		Stores: []cluster.StoreEntry{
			{Name: "store-0", Zone: "zone-0", Address: "10.0.1.1:7240", DiskID: "disk-0", Incarnation: "first", State: cluster.StoreActive},
			{Name: "store-1", Zone: "zone-1", Address: "10.0.1.2:7240", DiskID: "disk-1", Incarnation: "second", State: cluster.StoreDown, Unresponsive: true},
		},
		Partitions: []cluster.Partition{
			{ID: 0, Epoch: 3, PreferredPrimary: "store-1", Replicas: []cluster.Replica{
				{Store: "store-0", DiskID: "disk-0", Synced: true}, {Store: "store-1", DiskID: "disk-1"},
			}},
			{ID: 1, Epoch: 1, Replicas: []cluster.Replica{{Store: "store-1", DiskID: "disk-1", Synced: true}}},
		},
		ReplicationFactor: 2,
		DeliveringStores:  3,
	}
}

func goldenTableChange() cluster.TableChange {
	table := goldenTable()
	return cluster.TableChange{
		Base: 0, Primary: table.Primary, ControlGroup: table.ControlGroup, Stores: table.Stores, Partitions: table.Partitions,
		ReplicationFactor: table.ReplicationFactor, DeliveringStores: table.DeliveringStores,
	}
}

// TestLogRecordFormatIsUnchanged guards against a format of log records that other versions can't read. It encodes a
// change of each kind, decodes the golden record and encodes it again.
func TestLogRecordFormatIsUnchanged(t *testing.T) {
	update := []byte(`{"version":6,"upsert":{"services":[{"name":"s-2"}]}}`)
	for name, value := range map[string]*Change{
		"record-replace": {Config: &ConfigChange{Digest: "0123abcd", Base: 4, Body: []byte(configurationOf(5))}},
		"record-update":  {Config: &ConfigChange{Digest: "4567ef01", Base: 5, Update: true, Body: update}},
		"record-table":   {Table: &TableChange{ID: "life-1", TableChange: goldenTableChange()}},
		"record-small":   {Table: &TableChange{ID: "life-2", TableChange: cluster.TableChange{Base: 8, DeliveringStores: 4}}},
		"record-retire": {Table: &TableChange{
			ID: "life-3", TableChange: cluster.TableChange{Base: 9},
			Jobs: []RetireJob{{Store: "store-0", DiskID: "disk-0"}, {Store: "store-1", DiskID: "disk-1", Completed: true}},
		}},
	} {
		record, err := value.Encode()
		assert.NilError(t, err)
		golden.AssertBytes(t, record, name)
		stored := golden.Get(t, name)
		decoded, err := DecodeChange(stored)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, value)
		again, err := decoded.Encode()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(stored))
	}
}

// TestSnapshotFormatIsUnchanged guards against a snapshot format that other versions can't read. It takes snapshots
// without and with a configuration, restores the golden ones and takes them again.
func TestSnapshotFormatIsUnchanged(t *testing.T) {
	filled := NewMachine()
	apply(t, filled, replaceChange("first", 0, 5))
	apply(t, filled, replaceChange("second", 5, 8))
	apply(t, filled, Change{Table: &TableChange{
		ID: "life-1", TableChange: goldenTableChange(),
		Jobs: []RetireJob{{Store: "store-0", DiskID: "disk-0"}, {Store: "store-1", DiskID: "disk-1", Completed: true}},
	}})
	for name, machine := range map[string]*Machine{"snapshot-empty": NewMachine(), "snapshot-filled": filled} {
		snapshot, err := machine.Snapshot()
		assert.NilError(t, err)
		golden.AssertBytes(t, snapshot, name)
		stored := golden.Get(t, name)
		restored := NewMachine()
		assert.NilError(t, restored.Restore(stored))
		again, err := restored.Snapshot()
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(stored))
	}
}

// TestSnapshotKeepsForgottenBelow restores a snapshot whose oldest requests have been forgotten, and takes it again.
// The snapshot is written by hand, because a real one holds MaxRememberedRequests digests.
func TestSnapshotKeepsForgottenBelow(t *testing.T) {
	const stored = `{"orders":["a","b"],"bases":[3,4],"forgot":3,"table":{"revision":0,"primary":"","core":null,` +
		`"stores":null,"partitions":null,"copies":0,"deliverers":0}}` + "\n"
	machine := NewMachine()
	assert.NilError(t, machine.Restore([]byte(stored)))
	again, err := machine.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(again), stored)
}
