package messagestore

import (
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs/memfs"
)

// tableWithPrimaries returns a table with one partition per given store, which is the partition's only replica. The
// epoch of all partitions is the table's revision.
func tableWithPrimaries(revision uint64, stores ...string) *cluster.Table {
	table := &cluster.Table{Revision: revision}
	for id, store := range stores {
		view := cluster.Partition{ID: id, Epoch: revision}
		view.Replicas = []cluster.Replica{{Store: store, DiskID: "disk-" + store, Synced: true}}
		table.Partitions = append(table.Partitions, view)
	}
	return table
}

func TestLeadershipChangesAreLoggedOncePerTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		store, err := Open(Options{
			Name: "a", DiskID: "disk-a", FS: memfs.New(1).Mount(), Server: rpc.NewServer(zap.NewNop()),
			Control: &machineControl{harness: &harness{}, machine: &machine{}}, Logger: zap.New(core), ReplicationFactor: 1,
		})
		assert.NilError(t, err)
		store.Start(&testEngine{})
		store.ApplyTable(tableWithPrimaries(1, "a", "a", "a", "b"))
		store.ApplyTable(tableWithPrimaries(2, "a", "a", "a", "b"))
		store.ApplyTable(tableWithPrimaries(3, "b", "b", "a", "a"))
		assert.NilError(t, store.Close())

		var logged []map[string]any
		for _, entry := range logs.FilterMessage("partition leadership changed").AllUntimed() {
			logged = append(logged, entry.ContextMap())
		}
		assert.DeepEqual(t, logged, []map[string]any{
			{"table": uint64(1), "gained": int64(3), "lost": int64(0), "messages": int64(0)},
			{"table": uint64(3), "gained": int64(1), "lost": int64(2), "messages": int64(0)},
		})
		assert.Equal(t, logs.Len(), 2)
	})
}
