package workerlist

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/cluster"
)

// TestMessagesKeepTheirBytes encodes the announcements and lists that the primary sends to its backups. The golden file
// was written once, by the flag -update, and is never edited.
func TestMessagesKeepTheirBytes(t *testing.T) {
	worker := cluster.Worker{
		ID: "i-1", Service: "s-1", Address: "10.0.2.1:80", Zone: "zone-0", Version: "v2", Capacity: 4, Draining: true,
		WarmupRemainingMS: 1500,
	}
	list := &cluster.WorkerList{Epoch: 2, Revision: 9, Workers: []cluster.Worker{worker}}
	before := &cluster.WorkerList{Epoch: 2, Revision: 8}
	var lines []byte
	for _, message := range []any{
		announcement{Epoch: 2, Revision: 9, AgeMS: 350, Address: "10.0.0.1:7240"},
		listResponse{List: list},
		listResponse{Changes: []cluster.WorkerChange{*cluster.DiffWorkers(before, list, sameWorker)}},
	} {
		line, err := json.Marshal(message)
		assert.NilError(t, err)
		lines = append(append(lines, line...), '\n')
	}
	golden.AssertBytes(t, lines, "messages")
}
