package operatorcli

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/systemnode/inspection"
)

func TestStatusPrintsTableAndJSON(t *testing.T) {
	status := inspection.Status{
		Process: "front-1", Zone: "a", LeaseValid: true, Primary: "front-2", ConfigVersion: 3, TableRevision: 8, Copies: 2,
		ControlMembers: 3, Stores: map[string]int{"down": 1, "active": 4}, Workers: 12, WorkersAgeMS: 1250,
		Partitions: inspection.Coverage{Total: 64, Complete: 60, Degraded: 3, Leaderless: 1},
	}
	front := newFakeFront(t, map[string]answer{"GET /api/status": {http.StatusOK, encode(t, status)}})
	out, err := runCommand(t, "status", "--address", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, `answered by      front-1 (a)
state            current
control primary  front-2
control members  3
configuration    3
table            8
copies           2
stores           4 active, 1 down
partitions       64: 60 whole, 3 degraded, 1 without a primary
workers          12, read 1.25s ago
`)
	out, err = runCommand(t, "status", "--address", front.address, "--output", "json")
	assert.NilError(t, err)
	var printed inspection.Status
	assert.NilError(t, json.Unmarshal([]byte(out), &printed))
	assert.DeepEqual(t, printed, status)
}
