package controlplane

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
	info := cluster.NodeInfo{Name: name, DiskID: disk, Core: true, Address: name + ":1"}
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

func TestFullGroupTakesNobodyIn(t *testing.T) {
	members, nodes := membersOf(memberCountLimit)
	nodes["x"] = coreNode("x", "dx")
	assert.Assert(t, planJoin(members, nodes) == nil)
}

func TestAnotherDiskTakesTheMembersPlace(t *testing.T) {
	members, nodes := membersOf(memberCountLimit)
	nodes["m-2"] = coreNode("m-2", "new")
	change := planJoin(members, nodes)
	assert.Equal(t, change.remove, "d-m-2")
	assert.Equal(t, change.add.DiskID, "new")
}

func TestSilentMemberIsRemovedWhileAMajorityLives(t *testing.T) {
	members, nodes := membersOf(5)
	begin := time.Now()
	manager := &memberManager{
		plane:     &Plane{options: Options{Info: cluster.NodeInfo{DiskID: "d-m-0"}}},
		lastAlive: map[string]time.Time{}, leadingSince: begin,
	}
	view := replication.View{Members: members}
	delete(nodes, "m-3")
	late := begin.Add(memberSilenceLimit + time.Second)
	manager.noteAlive(members, nodes, begin)
	assert.Assert(t, manager.planRemoval(view, begin) == nil)
	manager.noteAlive(members, nodes, late)
	assert.Equal(t, manager.planRemoval(view, late).remove, "d-m-3")
	delete(nodes, "m-1")
	delete(nodes, "m-2")
	later := late.Add(memberSilenceLimit + time.Second)
	manager.noteAlive(members, nodes, later)
	assert.Assert(t, manager.planRemoval(view, later) == nil, "two of five are no majority of the rest")
	assert.Assert(t, manager.planRemoval(replication.View{Members: members[:3]}, later) == nil)
}

func TestFoundingMembersAreSpreadOverZones(t *testing.T) {
	var candidates []cluster.NodeInfo
	for i := range 12 {
		zone := "crowded"
		if i >= 9 {
			zone = fmt.Sprintf("zone-%d", i)
		}
		candidates = append(candidates, cluster.NodeInfo{Name: fmt.Sprintf("n-%02d", i), DiskID: fmt.Sprint(i), Zone: zone})
	}
	members := chooseMembers(candidates)
	assert.Equal(t, len(members), memberCountLimit)
	names := map[string]bool{}
	for _, member := range members {
		names[member.Name] = true
	}
	assert.Assert(t, names["n-09"] && names["n-10"] && names["n-11"])
}
