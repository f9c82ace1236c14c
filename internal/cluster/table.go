package cluster

// Table is the cluster table, which the control plane publishes. Revision grows by one with every change, also
// across a failover of the control plane.
type Table struct {
	Revision          uint64       `json:"revision"`
	Primary           string       `json:"primary"` // name of the control group's primary; it may be out of date
	Core              []CoreMember `json:"core"`
	Stores            []StoreEntry `json:"stores"`     // sorted by name
	Partitions        []Partition  `json:"partitions"` // a partition's index is its ID
	ReplicationFactor int          `json:"copies"`     // number of disks that hold a message before it is acknowledged
	// DeliveringStores is the number of stores that deliver messages now, or that may not have stopped delivering yet. Limits
	// are not divided by it but by LimitDivisor.
	DeliveringStores int `json:"deliverers"`
}

// Store returns the entry of a store by its name, or nil. The table may be nil.
func (t *Table) Store(name string) *StoreEntry {
	if t == nil {
		return nil
	}
	for i := range t.Stores {
		if t.Stores[i].Name == name {
			return &t.Stores[i]
		}
	}
	return nil
}

// LeadingStores returns the number of stores that are the primary of at least one partition.
func (t *Table) LeadingStores() int {
	leaders := make(map[string]bool, len(t.Stores))
	for _, partition := range t.Partitions {
		if primary, found := partition.Primary(); found {
			leaders[primary.Store] = true
		}
	}
	return len(leaders)
}

// LimitDivisor returns by how much a limit for the whole cluster, such as a service's requests per second, is to be
// divided for a store, as each store enforces its part by itself. It has no unit: it is the number of all partitions
// divided by the number of those that the store leads, rounded up. So the parts of all leading stores together stay within
// the limit, however unevenly the partitions are led. For a store that leads none it is the number of partitions; it
// is never less than 1.
func (t *Table) LimitDivisor(store string) int {
	led := 0
	for _, partition := range t.Partitions {
		if primary, found := partition.Primary(); found && primary.Store == store {
			led++
		}
	}
	if led == 0 {
		return max(len(t.Partitions), 1)
	}
	return (len(t.Partitions) + led - 1) / led
}
