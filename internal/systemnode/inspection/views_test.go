package inspection

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// fakeSnapshots implements Snapshots with values that the test sets.
type fakeSnapshots struct {
	config  *configuration.Document
	table   *cluster.Table
	workers int
	readAt  time.Time
	lease   bool
}

func (f *fakeSnapshots) Config() *configuration.Document { return f.config }
func (f *fakeSnapshots) Table() *cluster.Table           { return f.table }
func (f *fakeSnapshots) WorkerCount() int                { return f.workers }
func (f *fakeSnapshots) WorkersReadAt() time.Time        { return f.readAt }
func (f *fakeSnapshots) LeaseValid() bool                { return f.lease }

var self = cluster.NodeInfo{Name: "front-1", Class: "front", Zone: "a"}

// syncedReplica returns a synced replica at the store of sampleTable with the given number.
func syncedReplica(number string) cluster.Replica {
	return cluster.Replica{Store: "store-" + number, DiskID: "disk-" + number, Synced: true}
}

// copyingReplica returns a replica that is not synced yet, at the store of sampleTable with the given number.
func copyingReplica(number string) cluster.Replica {
	return cluster.Replica{Store: "store-" + number, DiskID: "disk-" + number}
}

// sampleTable returns a table with two control members, three stores with store-3 down, and one or more
// partitions of each class of Coverage.
func sampleTable() *cluster.Table {
	return &cluster.Table{
		Revision:          9,
		Primary:           "front-2",
		ReplicationFactor: 2,
		ControlGroup: []cluster.ControlMember{
			{Name: "front-1", Address: "10.0.0.1:7000", DiskID: "d1", Zone: "a"},
			{Name: "front-2", Address: "10.0.0.2:7000", DiskID: "d2", Zone: "b"},
		},
		Stores: []cluster.StoreEntry{
			{Name: "store-1", Zone: "a", Address: "10.0.0.3:7000", DiskID: "disk-1", State: cluster.StoreActive},
			{Name: "store-2", Zone: "b", Address: "10.0.0.4:7000", DiskID: "disk-2", State: cluster.StoreActive},
			{Name: "store-3", Zone: "c", Address: "10.0.0.5:7000", DiskID: "disk-3", State: cluster.StoreDown},
		},
		Partitions: []cluster.Partition{
			{ID: 0, Epoch: 1, Replicas: []cluster.Replica{syncedReplica("1"), syncedReplica("2")}},
			{ID: 1, Epoch: 2, Replicas: []cluster.Replica{syncedReplica("2"), copyingReplica("1")}, PreferredPrimary: "store-1"},
			{ID: 2, Epoch: 3},
			{ID: 3, Epoch: 4, Replicas: []cluster.Replica{syncedReplica("1"), syncedReplica("3")}},
			{ID: 4, Epoch: 5, Replicas: []cluster.Replica{syncedReplica("3"), syncedReplica("1")}},
		},
	}
}

func TestStatusSummarizesSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		snapshots := &fakeSnapshots{
			table:   sampleTable(),
			workers: 3,
			readAt:  time.Now(),
			lease:   true,
		}
		time.Sleep(250 * time.Millisecond)
		assert.DeepEqual(t, NewStatus(self, snapshots), Status{
			Process:        "front-1",
			Class:          "front",
			Zone:           "a",
			LeaseValid:     true,
			Primary:        "front-2",
			TableRevision:  9,
			Copies:         2,
			ControlMembers: 2,
			Stores:         map[string]int{"active": 2, "down": 1},
			Partitions:     Coverage{Total: 5, Complete: 1, Degraded: 2, Leaderless: 2},
			Workers:        3,
			WorkersAgeMS:   250,
		})
	})
}

func TestStatusWithoutSnapshots(t *testing.T) {
	assert.DeepEqual(t, NewStatus(self, &fakeSnapshots{}), Status{
		Process: "front-1", Class: "front", Zone: "a", Stores: map[string]int{}, WorkersAgeMS: -1,
	})
}

func TestMembersListsControlMembersAndStores(t *testing.T) {
	assert.DeepEqual(t, NewMembers(sampleTable()), []Member{
		{Name: "front-1", Role: RoleControl, Zone: "a", Address: "10.0.0.1:7000", State: ControlBackup, DiskID: "d1"},
		{Name: "front-2", Role: RoleControl, Zone: "b", Address: "10.0.0.2:7000", State: ControlPrimary, DiskID: "d2"},
		{Name: "store-1", Role: RoleStore, Zone: "a", Address: "10.0.0.3:7000", State: "active", DiskID: "disk-1", Leads: 2, Holds: 4},
		{Name: "store-2", Role: RoleStore, Zone: "b", Address: "10.0.0.4:7000", State: "active", DiskID: "disk-2", Leads: 1, Holds: 2},
		{Name: "store-3", Role: RoleStore, Zone: "c", Address: "10.0.0.5:7000", State: "down", DiskID: "disk-3", Leads: 1, Holds: 2},
	})
	assert.DeepEqual(t, NewMembers(nil), []Member{})
}

func TestPartitionsListsReplicaGroups(t *testing.T) {
	assert.DeepEqual(t, NewPartitions(sampleTable()), []Partition{
		{ID: 0, Epoch: 1, Primary: "store-1", Synced: []string{"store-2"}, Copying: []string{}},
		{ID: 1, Epoch: 2, Primary: "store-2", Synced: []string{}, Copying: []string{"store-1"}, PreferredPrimary: "store-1"},
		{ID: 2, Epoch: 3, Synced: []string{}, Copying: []string{}},
		{ID: 3, Epoch: 4, Primary: "store-1", Synced: []string{"store-3"}, Copying: []string{}},
		{ID: 4, Epoch: 5, Primary: "store-3", Synced: []string{"store-1"}, Copying: []string{}},
	})
	assert.DeepEqual(t, NewPartitions(nil), []Partition{})
}

func TestSuspectedBackupsAreListed(t *testing.T) {
	table := &cluster.Table{Partitions: []cluster.Partition{{ID: 7, Epoch: 2, Replicas: []cluster.Replica{
		{Store: "store-1", DiskID: "disk-1", Synced: true},
		{Store: "store-2", DiskID: "disk-2", Synced: true, Suspected: true},
		{Store: "store-3", DiskID: "disk-3"},
	}}}}
	assert.DeepEqual(t, NewPartitions(table), []Partition{{
		ID: 7, Epoch: 2, Primary: "store-1", Synced: []string{"store-2"}, Copying: []string{"store-3"}, Suspected: []string{"store-2"},
	}})
}

func TestAddressOfFindsControlMembersAndStores(t *testing.T) {
	cases := []struct {
		name, address string
	}{
		{"front-2", "10.0.0.2:7000"},
		{"store-3", "10.0.0.5:7000"},
		{"nobody", ""},
	}
	for _, test := range cases {
		address, found := AddressOf(sampleTable(), test.name)
		assert.Equal(t, address, test.address)
		assert.Equal(t, found, test.address != "")
	}
	_, found := AddressOf(nil, "front-1")
	assert.Assert(t, !found)
}
