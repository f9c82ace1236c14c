package replication

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func membersOf(ids ...int) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{DiskID: fmt.Sprint(id)})
	}
	return members
}

// TestQuorumsOfSuccessiveViewsIntersect checks the property that makes a change of the membership safe: each quorum of
// a view during the change shares a member with each quorum of the view before it, of the view after it, and of the
// view itself.
func TestQuorumsOfSuccessiveViewsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.IntRange(0, 9)
		before := rapid.SliceOfNDistinct(id, 1, 9, rapid.ID).Draw(t, "before")
		after := rapid.SliceOfNDistinct(id, 1, 9, rapid.ID).Draw(t, "after")
		joint := View{Members: membersOf(after...), Previous: membersOf(before...)}
		has := func(label string) func(string) bool {
			chosen := rapid.SliceOfDistinct(id, rapid.ID).Draw(t, label)
			return func(diskID string) bool {
				_, found := findMember(membersOf(chosen...), diskID)
				return found
			}
		}
		one, other := has("one"), has("other")
		if !joint.hasQuorum(one) {
			return
		}
		for _, neighbour := range []View{{Members: joint.Previous}, {Members: joint.Members}, joint} {
			if neighbour.hasQuorum(other) {
				assert.Assert(t, intersect(joint.allMembers(), one, other))
			}
		}
	})
}

func intersect(members []Member, one, other func(string) bool) bool {
	for _, member := range members {
		if one(member.DiskID) && other(member.DiskID) {
			return true
		}
	}
	return false
}

func TestMinInSync(t *testing.T) {
	cases := []struct{ members, factor, minimum int }{{1, 2, 1}, {3, 2, 2}, {3, 3, 2}, {4, 2, 2}, {5, 3, 3}, {8, 3, 3}}
	for _, each := range cases {
		view := View{Members: make([]Member, each.members)}
		assert.Equal(t, view.minInSync(each.factor), each.minimum)
	}
}
