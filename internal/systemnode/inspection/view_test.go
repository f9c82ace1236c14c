package inspection

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"ivyfold/internal/cluster"
	"ivyfold/internal/configuration"
)

// fakeSnapshots are snapshots that the test sets.
type fakeSnapshots struct {
	config  *configuration.Document
	table   *cluster.Table
	workers *cluster.WorkerList
	readAt  time.Time
	lease   bool
}

func (f *fakeSnapshots) Config() *configuration.Document { return f.config }
func (f *fakeSnapshots) Table() *cluster.Table           { return f.table }
func (f *fakeSnapshots) Workers() *cluster.WorkerList    { return f.workers }
func (f *fakeSnapshots) WorkersReadAt() time.Time        { return f.readAt }
func (f *fakeSnapshots) LeaseValid() bool                { return f.lease }

var self = cluster.NodeInfo{Name: "front-1", Class: "front", Zone: "a"}

// sampleTable has two control members, three stores, and a partition of each kind.
func sampleTable() *cluster.Table {
	return &cluster.Table{
		Revision: 9,
		Primary:  "front-2",
		Copies:   2,
		Core: []cluster.CoreEntry{
			{Name: "front-1", Address: "10.0.0.1:7000", DiskID: "d1", Zone: "a"},
			{Name: "front-2", Address: "10.0.0.2:7000", DiskID: "d2", Zone: "b"},
		},
		Stores: []cluster.StoreEntry{
			{Name: "store-1", Zone: "a", Address: "10.0.0.3:7000", DiskID: "d3", State: cluster.StoreActive},
			{Name: "store-2", Zone: "b", Address: "10.0.0.4:7000", DiskID: "d4", State: cluster.StoreActive},
			{Name: "store-3", Zone: "c", Address: "10.0.0.5:7000", DiskID: "d5", State: cluster.StoreDown},
		},
		Partitions: []cluster.Partition{
			{ID: 0, Epoch: 1, Replicas: []cluster.Replica{{Store: "store-1", Synced: true}, {Store: "store-2", Synced: true}}},
			{ID: 1, Epoch: 2, Replicas: []cluster.Replica{{Store: "store-2", Synced: true}, {Store: "store-1"}}, Wanted: "store-1"},
			{ID: 2, Epoch: 3},
		},
	}
}

func TestStatusSumsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := &fakeSnapshots{
			table:   sampleTable(),
			workers: &cluster.WorkerList{Workers: make([]cluster.Worker, 3)},
			readAt:  time.Now(),
			lease:   true,
		}
		time.Sleep(250 * time.Millisecond)
		assert.DeepEqual(t, NewStatus(self, known), Status{
			Process:       "front-1",
			Class:         "front",
			Zone:          "a",
			LeaseValid:    true,
			Primary:       "front-2",
			TableRevision: 9,
			Copies:        2,
			Control:       2,
			Stores:        map[string]int{"active": 2, "down": 1},
			Partitions:    Coverage{Total: 3, Whole: 1, Degraded: 1, Leaderless: 1},
			Workers:       3,
			WorkersAgeMS:  250,
		})
	})
}

func TestStatusOfAProcessThatKnowsNothing(t *testing.T) {
	assert.DeepEqual(t, NewStatus(self, &fakeSnapshots{}), Status{
		Process: "front-1", Class: "front", Zone: "a", Stores: map[string]int{}, WorkersAgeMS: -1,
	})
}

func TestMembers(t *testing.T) {
	assert.DeepEqual(t, NewMembers(sampleTable()), []Member{
		{Name: "front-1", Role: RoleControl, Zone: "a", Address: "10.0.0.1:7000", State: ControlBackup, DiskID: "d1"},
		{Name: "front-2", Role: RoleControl, Zone: "b", Address: "10.0.0.2:7000", State: ControlPrimary, DiskID: "d2"},
		{Name: "store-1", Role: RoleStore, Zone: "a", Address: "10.0.0.3:7000", State: "active", DiskID: "d3", Leads: 1, Holds: 2},
		{Name: "store-2", Role: RoleStore, Zone: "b", Address: "10.0.0.4:7000", State: "active", DiskID: "d4", Leads: 1, Holds: 2},
		{Name: "store-3", Role: RoleStore, Zone: "c", Address: "10.0.0.5:7000", State: "down", DiskID: "d5"},
	})
	assert.DeepEqual(t, NewMembers(nil), []Member{})
}

func TestPartitions(t *testing.T) {
	assert.DeepEqual(t, NewPartitions(sampleTable()), []Partition{
		{ID: 0, Epoch: 1, Primary: "store-1", Synced: []string{"store-2"}, Copying: []string{}},
		{ID: 1, Epoch: 2, Primary: "store-2", Synced: []string{}, Copying: []string{"store-1"}, Wanted: "store-1"},
		{ID: 2, Epoch: 3, Synced: []string{}, Copying: []string{}},
	})
	assert.DeepEqual(t, NewPartitions(nil), []Partition{})
}

func TestAddressOf(t *testing.T) {
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
