package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/replication"
)

func coreNode(name, disk string) lease.Status {
	info := cluster.NodeInfo{Name: name, DiskID: disk, ControlEligible: true, Address: name + ":1"}
	return lease.Status{Info: info, Live: true, Recent: true}
}

func membersOf(count int) ([]replication.Member, map[string]lease.Status) {
	var members []replication.Member
	nodes := map[string]lease.Status{}
	for i := range count {
		name := fmt.Sprintf("m-%d", i)
		members = append(members, replication.Member{Name: name, DiskID: "d-" + name, Address: name + ":1"})
		nodes[name] = coreNode(name, "d-"+name)
	}
	return members, nodes
}

func TestNewProcessJoinsASmallGroup(t *testing.T) {
	members, nodes := membersOf(4)
	assert.Assert(t, planJoin(members, nodes) == nil)
	nodes["x"], nodes["y"] = coreNode("x", "dx"), coreNode("y", "dy")
	change := planJoin(members, nodes)
	assert.Equal(t, change.remove, "")
	assert.Equal(t, *change.add, replication.Member{Name: "x", DiskID: "dx", Address: "x:1"})
}

func TestFullGroupAddsNoMember(t *testing.T) {
	members, nodes := membersOf(MaxMembers)
	nodes["x"] = coreNode("x", "dx")
	assert.Assert(t, planJoin(members, nodes) == nil)
}

func TestNewDiskReplacesTheMemberOfTheSameName(t *testing.T) {
	members, nodes := membersOf(MaxMembers)
	nodes["m-2"] = coreNode("m-2", "new")
	change := planJoin(members, nodes)
	assert.Equal(t, change.remove, "d-m-2")
	assert.Equal(t, change.add.DiskID, "new")
}

// TestNewDisksReplaceMembersInOrderOfNames checks that the choice among several new disks does not depend on the order
// of the map.
func TestNewDisksReplaceMembersInOrderOfNames(t *testing.T) {
	for range 20 {
		members, nodes := membersOf(5)
		for _, name := range []string{"m-3", "m-1", "m-4"} {
			nodes[name] = coreNode(name, "another-"+name)
		}
		assert.Equal(t, planJoin(members, nodes).add.Name, "m-1")
	}
}

func TestUnresponsiveMemberIsRemovedWhileAMajorityIsAlive(t *testing.T) {
	members, nodes := membersOf(5)
	begin := time.Now()
	manager := newTestManager(0, begin)
	view := replication.View{Members: members}
	delete(nodes, "m-3")
	late := begin.Add(removeAfter + time.Second)
	manager.recordAlive(members, nodes, begin)
	assert.Assert(t, manager.planRemoval(view, begin) == nil)
	manager.recordAlive(members, nodes, late)
	assert.Equal(t, manager.planRemoval(view, late).remove, "d-m-3")
	delete(nodes, "m-1")
	delete(nodes, "m-2")
	later := late.Add(removeAfter + time.Second)
	manager.recordAlive(members, nodes, later)
	assert.Assert(t, manager.planRemoval(view, later) == nil, "two live members are not a majority of the other four")
	assert.Assert(t, manager.planRemoval(replication.View{Members: members[:3]}, later) == nil)
}

// newTestManager returns the manager of the first member, which begins to lead at the given time.
func newTestManager(tolerated int, begin time.Time) *Manager {
	return &Manager{
		options:   Options{DiskID: "d-m-0", ToleratedLosses: tolerated},
		lastAlive: map[string]time.Time{}, leadingSince: begin,
	}
}

// TestJoiningProcessReplacesAnUnresponsiveMember replaces a machine by an empty one at another address. The group must
// not keep the lost member beside the new one.
func TestJoiningProcessReplacesAnUnresponsiveMember(t *testing.T) {
	members, nodes := membersOf(5)
	begin := time.Now()
	manager := newTestManager(2, begin)
	manager.recordAlive(members, nodes, begin)
	view := replication.View{Members: members}
	nodes["successor"] = coreNode("successor", "new")
	change := manager.plan(view, nodes, begin)
	assert.Equal(t, change.remove, "", "all members are alive")
	delete(nodes, "m-3")
	soon := begin.Add(replaceableAfter / 2)
	manager.recordAlive(members, nodes, soon)
	assert.Assert(t, manager.plan(view, nodes, soon) == nil, "the member may respond again soon")
	late := begin.Add(replaceableAfter)
	manager.recordAlive(members, nodes, late)
	change = manager.plan(view, nodes, late)
	assert.Equal(t, change.remove, "d-m-3")
	assert.Equal(t, change.add.DiskID, "new")
	assert.Equal(t, manager.plan(replication.View{Members: members[:4]}, nodes, late).remove, "", "the group is too small")
}

// TestGroupKeepsAMajorityAfterToleratedLosses checks every group size and several numbers of tolerated losses. Members
// must not be removed to a size at which the tolerated losses could leave no majority.
func TestGroupKeepsAMajorityAfterToleratedLosses(t *testing.T) {
	for tolerated := range 4 {
		for size := 3; size <= MaxMembers; size++ {
			members, nodes := membersOf(size)
			begin := time.Now()
			manager := newTestManager(tolerated, begin)
			for lost := range min(tolerated, size-1) {
				delete(nodes, members[size-1-lost].Name)
			}
			now := begin.Add(removeAfter + time.Second)
			for {
				manager.recordAlive(members, nodes, now)
				change := manager.planRemoval(replication.View{Members: members}, now)
				if change == nil {
					break
				}
				members = membersWithout(members, change.remove)
			}
			assert.Assert(t, len(members) >= min(size, 2*tolerated+1), "%d members left of %d, %d losses tolerated", len(members), size, tolerated)
		}
	}
}

func membersWithout(members []replication.Member, diskID string) []replication.Member {
	var left []replication.Member
	for _, member := range members {
		if member.DiskID != diskID {
			left = append(left, member)
		}
	}
	return left
}
