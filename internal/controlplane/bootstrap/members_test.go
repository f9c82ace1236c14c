package bootstrap

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/membership"
)

func TestFirstMembersAreSpreadOverZones(t *testing.T) {
	var candidates []cluster.NodeInfo
	for i := range 12 {
		zone := "crowded"
		if i >= 9 {
			zone = fmt.Sprintf("zone-%d", i)
		}
		candidates = append(candidates, cluster.NodeInfo{Name: fmt.Sprintf("n-%02d", i), DiskID: fmt.Sprint(i), Zone: zone})
	}
	members := chooseMembers(candidates)
	assert.Equal(t, len(members), membership.MaxMembers)
	names := map[string]bool{}
	for _, member := range members {
		names[member.Name] = true
	}
	assert.Assert(t, names["n-09"] && names["n-10"] && names["n-11"])
}
