package replication

import "slices"

// View names the process that leads the group and the disks that hold every acknowledged change. Views are immutable.
type View struct {
	Epoch   uint64   `json:"epoch"`   // higher than that of each earlier view; the fencing token of its primary
	Primary string   `json:"primary"` // disk id
	InSync  []string `json:"inSync"`  // disk ids, the primary's among them
	Members []Member `json:"members"` // all of them are witnesses
	// Previous holds the members from before a change of the membership, until the change is completed. While it is
	// set, every round needs a majority of the previous members as well (joint quorums).
	Previous []Member `json:"previous,omitempty"`
}

// Member returns the member with a disk id, current or previous, and whether there is one.
func (v View) Member(diskID string) (Member, bool) {
	if member, found := findMember(v.Members, diskID); found {
		return member, true
	}
	return findMember(v.Previous, diskID)
}

// PrimaryMember returns the member that leads the view, and whether it is among the members.
func (v View) PrimaryMember() (Member, bool) { return v.Member(v.Primary) }

// HasInSync reports whether a disk is in the in-sync set.
func (v View) HasInSync(diskID string) bool { return slices.Contains(v.InSync, diskID) }

// allMembers returns the current members, and those previous ones that are no longer members.
func (v View) allMembers() []Member {
	all := slices.Clone(v.Members)
	for _, member := range v.Previous {
		if _, found := findMember(v.Members, member.DiskID); !found {
			all = append(all, member)
		}
	}
	return all
}

// hasQuorum reports whether the disks that satisfy a condition make up a majority of the members, and a majority of the
// previous members if there are any.
func (v View) hasQuorum(has func(diskID string) bool) bool {
	if !isMajority(v.Members, has) {
		return false
	}
	return len(v.Previous) == 0 || isMajority(v.Previous, has)
}

// minInSync returns the minimum size of an in-sync set. It is the replication factor, so that one disk is left after
// the tolerated losses, but at most a majority.
func (v View) minInSync(replicationFactor int) int {
	return min(replicationFactor, len(v.Members)/2+1)
}

// isMajority reports whether the disks that satisfy a condition make up more than half of the members.
func isMajority(members []Member, has func(diskID string) bool) bool {
	count := 0
	for _, member := range members {
		if has(member.DiskID) {
			count++
		}
	}
	return 2*count > len(members)
}

// newerView returns the view with the higher epoch; nil means no view.
func newerView(one, other *View) *View {
	if one == nil || (other != nil && other.Epoch > one.Epoch) {
		return other
	}
	return one
}
