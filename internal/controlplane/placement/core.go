package placement

import (
	"cmp"
	"slices"
	"strings"

	"gladepick/internal/cluster"
)

// UpdateControlGroup sets the table's list of members of the control group, and its primary, which is identified by its
// disk. The Builder takes ownership of the slice and fills in the zones that the members have announced.
func (b *Builder) UpdateControlGroup(members []cluster.ControlMember, primaryDiskID string) {
	for i := range members {
		member := &members[i]
		if member.DiskID == primaryDiskID {
			b.primary = member.Name
		}
		member.Zone = b.zoneOfMember(member.Name)
	}
	slices.SortFunc(members, func(a, b cluster.ControlMember) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.DiskID, b.DiskID))
	})
	b.controlGroup = members
}

// zoneOfMember returns the zone that a member has announced, or "" if it is not known.
func (b *Builder) zoneOfMember(name string) string {
	if node, found := b.nodes[name]; found {
		return node.Info.Zone
	}
	for _, known := range b.controlGroup {
		if known.Name == name {
			return known.Zone
		}
	}
	return ""
}
