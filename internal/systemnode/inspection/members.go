package inspection

import (
	"gladepick/internal/cluster"
)

// Roles of a member.
const (
	RoleControl = "control"
	RoleStore   = "store"
)

// States of a control member. The states of a store are the values of cluster.StoreState.
const (
	ControlPrimary = "primary"
	ControlBackup  = "backup"
)

// Member describes a control member or a store.
type Member struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // of its internal listener
	State   string `json:"state"`
	DiskID  string `json:"diskId"`
	Leads   int    `json:"leads"` // number of partitions whose primary it is
	Holds   int    `json:"holds"` // number of partitions that it stores a replica of, as primary or backup
}

// NewMembers lists the control members and then the stores, each in the order of the table. The table may be nil. The
// list is never nil, so that JSON has [] for an empty one.
func NewMembers(table *cluster.Table) []Member {
	members := []Member{}
	if table == nil {
		return members
	}
	for _, entry := range table.ControlGroup {
		members = append(members, controlMember(entry, table.Primary))
	}
	leads, holds := countReplicas(table)
	for _, store := range table.Stores {
		members = append(members, Member{
			Name:    store.Name,
			Role:    RoleStore,
			Zone:    store.Zone,
			Address: store.Address,
			State:   string(store.State),
			DiskID:  store.DiskID,
			Leads:   leads[store.Name],
			Holds:   holds[store.Name],
		})
	}
	return members
}

func controlMember(entry cluster.ControlMember, primary string) Member {
	state := ControlBackup
	if entry.Name == primary {
		state = ControlPrimary
	}
	return Member{
		Name:    entry.Name,
		Role:    RoleControl,
		Zone:    entry.Zone,
		Address: entry.Address,
		State:   state,
		DiskID:  entry.DiskID,
	}
}

// countReplicas returns, by store name, the number of partitions whose primary the store is, and the number of
// partitions that it stores a replica of.
func countReplicas(table *cluster.Table) (leads, holds map[string]int) {
	leads, holds = map[string]int{}, map[string]int{}
	for _, partition := range table.Partitions {
		if primary, found := partition.Primary(); found {
			leads[primary.Store]++
		}
		for _, replica := range partition.Replicas {
			holds[replica.Store]++
		}
	}
	return leads, holds
}

// AddressOf returns the internal address of the control member or store with the given name. It returns false if the
// table contains no such member. The table may be nil.
func AddressOf(table *cluster.Table, name string) (string, bool) {
	if store := table.Store(name); store != nil {
		return store.Address, true
	}
	if table == nil {
		return "", false
	}
	for _, entry := range table.ControlGroup {
		if entry.Name == name {
			return entry.Address, true
		}
	}
	return "", false
}
