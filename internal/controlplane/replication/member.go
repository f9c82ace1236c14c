package replication

import (
	"fmt"
	"slices"
)

// Member is a process that takes part in the group. Its identity is its disk: a process that lost its disk is another
// member.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	DiskID  string `json:"diskId"`
}

// String names a member in messages.
func (m Member) String() string { return fmt.Sprintf("%s (%s)", m.Name, m.DiskID) }

func findMember(members []Member, diskID string) (Member, bool) {
	for _, member := range members {
		if member.DiskID == diskID {
			return member, true
		}
	}
	return Member{}, false
}

func withoutDisk(members []Member, diskID string) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return member.DiskID == diskID })
}

// membersThat returns the members whose disks satisfy a condition.
func membersThat(members []Member, condition func(diskID string) bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(member Member) bool { return !condition(member.DiskID) })
}
