package updates

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/cluster"
)

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

// TestMessagesKeepTheirBytes encodes responses to syncs. The golden file was written once, by the flag -update, and is
// never edited.
func TestMessagesKeepTheirBytes(t *testing.T) {
	table, err := json.Marshal(goldenTable())
	assert.NilError(t, err)
	var lines []byte
	for _, message := range []any{
		Response{
			SyncResponse: cluster.SyncResponse{
				ConfigVersion: 5, ConfigUpdates: []int{10, 20}, Compressed: true, WorkerCount: 3, WorkersAgeMS: -1, LeaseAgeMS: 40,
			},
			Table: table,
		},
		Response{TableChanges: json.RawMessage(`[1]`), Workers: json.RawMessage(`{"a":1}`), WorkerChanges: json.RawMessage(`[2]`)},
	} {
		line, err := json.Marshal(message)
		assert.NilError(t, err)
		lines = append(append(lines, line...), '\n')
	}
	golden.AssertBytes(t, lines, "messages")
}
