package operatorcli

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/systemnode/inspection"
)

func TestMembersAndPartitionsPrintTables(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/members": {http.StatusOK, encode(t, []inspection.Member{
			{Name: "front-1", Role: inspection.RoleControl, Address: "10.0.0.1:7000", State: "primary"},
			{Name: "store-1", Role: inspection.RoleStore, Zone: "a", Address: "10.0.0.2:7000", State: "active", Leads: 1, Holds: 2},
		})},
		"GET /api/partitions": {http.StatusOK, encode(t, []inspection.Partition{
			{ID: 0, Epoch: 4, Primary: "store-1", Synced: []string{"store-2", "store-3"}, Copying: []string{"store-4"}},
			{ID: 1, Epoch: 1, PreferredPrimary: "store-2"},
		})},
	})
	out, err := runCommand(t, "members", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, `NAME     ROLE     ZONE  ADDRESS        STATE    LEADS  HOLDS
front-1  control  -     10.0.0.1:7000  primary  -      -
store-1  store    a     10.0.0.2:7000  active   1      2
`)
	out, err = runCommand(t, "partitions", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, `ID  EPOCH  PRIMARY  SYNCED           COPYING  WANTED
0   4      store-1  store-2,store-3  store-4  -
1   1      -        -                -        store-2
`)
}
