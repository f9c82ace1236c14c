package replication

import "slices"

// View says who leads the group and which disks hold every acknowledged change. Views are immutable.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Primary string   `json:"primary"` // disk id
	InSync  []string `json:"inSync"`  // disk ids, the primary among them
	Members []Member `json:"members"` // the witnesses
	// Previous holds the members from before a change of membership, until the change is in force. While it is set,
	// every round needs a majority of the old members as well.
	Previous []Member `json:"previous,omitempty"`
}

// Member returns the member with a disk id, current or previous, and whether there is one.
func (v View) Member(diskID string) (Member, bool) {
	if member, found := findMember(v.Members, diskID); found {
		return member, true
	}
	return findMember(v.Previous, diskID)
}

// PrimaryMember returns the member that leads the view, and whether it is known.
func (v View) PrimaryMember() (Member, bool) { return v.Member(v.Primary) }

// HasInSync reports whether a disk is in the in-sync set.
func (v View) HasInSync(diskID string) bool { return slices.Contains(v.InSync, diskID) }

// allMembers returns the current members and those previous ones that are members no more.
func (v View) allMembers() []Member {
	all := slices.Clone(v.Members)
	for _, member := range v.Previous {
		if _, found := findMember(v.Members, member.DiskID); !found {
			all = append(all, member)
		}
	}
	return all
}

// hasQuorum reports whether the disks that satisfy a condition make up a majority of the members, and of the previous ones
// where a change of membership is under way.
func (v View) hasQuorum(has func(diskID string) bool) bool {
	if !isMajority(v.Members, has) {
		return false
	}
	return len(v.Previous) == 0 || isMajority(v.Previous, has)
}

// minInSync is how many disks an in-sync set must have, so that a tolerated number of lost disks leaves one of them.
func (v View) minInSync(copies int) int {
	return min(copies, len(v.Members)/2+1)
}

func isMajority(members []Member, has func(diskID string) bool) bool {
	count := 0
	for _, member := range members {
		if has(member.DiskID) {
			count++
		}
	}
	return 2*count > len(members)
}

// newerView returns the view with the higher epoch; nil stands for none.
func newerView(one, other *View) *View {
	if one == nil || (other != nil && other.Epoch > one.Epoch) {
		return other
	}
	return one
}
