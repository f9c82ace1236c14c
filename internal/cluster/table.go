package cluster

// Table is the cluster table that the control plane publishes. Revision grows by one with every change, also across a
// failover of the control plane.
type Table struct {
	Revision          uint64          `json:"revision"`
	Primary           string          `json:"primary"` // name of the control group's primary; it may be out of date
	ControlGroup      []ControlMember `json:"core"`
	Stores            []StoreEntry    `json:"stores"`     // sorted by name
	Partitions        []Partition     `json:"partitions"` // a partition's index is its ID
	ReplicationFactor int             `json:"copies"`     // number of disks that hold a message before it is acknowledged
	// DeliveringStores is the number of stores that deliver messages now, or that may not have stopped delivering yet.
	// Cluster-wide limits are divided by LimitDivisor, not by this number.
	DeliveringStores int `json:"deliverers"`
}

// Store returns the entry of the store with the given name, or nil. The table may be nil.
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

// LimitDivisor returns the number by which a cluster-wide limit, such as a service's requests per second, is divided to
// get a store's share of it. Each store enforces its share by itself. The divisor has no unit: it is the number of all
// partitions divided by the number of partitions that the store leads, rounded up. Therefore the shares of all leading
// stores add up to at most the limit, however unevenly the primaries are distributed. For a store that leads no
// partition it is the number of partitions. It is never less than 1.
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
