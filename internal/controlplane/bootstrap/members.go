package bootstrap

import (
	"slices"
	"strings"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/membership"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
)

// chooseMembers returns up to membership.MaxMembers candidates, spread over the zones and sorted by name.
func chooseMembers(candidates []cluster.NodeInfo) []replication.Member {
	slices.SortFunc(candidates, func(a, b cluster.NodeInfo) int { return strings.Compare(a.Name, b.Name) })
	chosen := placement.InterleaveZones(candidates, func(info cluster.NodeInfo) string { return info.Zone })
	chosen = chosen[:min(len(chosen), membership.MaxMembers)]
	members := make([]replication.Member, 0, len(chosen))
	for _, info := range chosen {
		members = append(members, replication.Member{Name: info.Name, Address: info.Address, DiskID: info.DiskID})
	}
	slices.SortFunc(members, func(a, b replication.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
