package replication

import (
	"fmt"
	"slices"
)

// Member is a process that takes part in the group. Its identity is its disk: a process that has lost its disk is
// another member.
type Member struct {
	Name    string `json:"name"`    // the machine's name
	Address string `json:"address"` // address of its internal RPC server, "ip:port"
	DiskID  string `json:"diskId"`  // chosen at random when the data directory was first used
}

// String returns the member's name and disk, for messages.
func (m Member) String() string { return fmt.Sprintf("%s (%s)", m.Name, m.DiskID) }

// findMember returns the member with a disk id, and whether there is one.
func findMember(members []Member, diskID string) (Member, bool) {
	for _, member := range members {
		if member.DiskID == diskID {
			return member, true
		}
	}
	return Member{}, false
}

// withoutDisk returns a copy of the members without the one that has a disk id.
func withoutDisk(members []Member, diskID string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.DiskID == diskID })
}

// filterMembers returns a copy of the members, with only those whose disks satisfy a condition.
func filterMembers(members []Member, condition func(diskID string) bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return !condition(member.DiskID) })
}
