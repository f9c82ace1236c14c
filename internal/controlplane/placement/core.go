package placement

import (
	"cmp"
	"slices"
	"strings"

	"gladepick/internal/cluster"
)

// UpdateCore lists the members of the control group, and its primary by its disk. It takes the list over, and adds the
// zones that the members have announced.
func (b *Builder) UpdateCore(members []cluster.CoreMember, primaryDiskID string) {
	for i := range members {
		member := &members[i]
		if member.DiskID == primaryDiskID {
			b.primary = member.Name
		}
		member.Zone = b.zoneOfMember(member.Name)
	}
	slices.SortFunc(members, func(a, b cluster.CoreMember) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.DiskID, b.DiskID))
	})
	b.core = members
}

// zoneOfMember returns the zone that a member has announced, as far as it is known.
func (b *Builder) zoneOfMember(name string) string {
	if node, found := b.nodes[name]; found {
		return node.Info.Zone
	}
	for _, known := range b.core {
		if known.Name == name {
			return known.Zone
		}
	}
	return ""
}
