package placement

import (
	"slices"

	"gladepick/internal/cluster"
)

// InterleaveZones orders values so that neighbours are in different zones where possible. It preserves the order within
// each zone.
func InterleaveZones[Value any](values []Value, zoneOf func(Value) string) []Value {
	var zones []string
	byZone := map[string][]Value{}
	for _, value := range values {
		zone := zoneOf(value)
		if len(byZone[zone]) == 0 {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], value)
	}
	slices.Sort(zones)
	ordered := make([]Value, 0, len(values))
	for rank := 0; len(ordered) < len(values); rank++ {
		for _, zone := range zones {
			if rank < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][rank])
			}
		}
	}
	return ordered
}

// zoneForReplica returns a function that reports whether a zone suits one more replica. taken holds the zones of the
// existing replicas, the primary's first. spread is the desired number of zones for the replicas: while they are in
// fewer zones, a zone that holds none of them suits; after that, only the primary's zone does.
func zoneForReplica(taken []string, spread int) func(zone string) bool {
	distinct := slices.Compact(slices.Sorted(slices.Values(taken)))
	if len(distinct) < spread {
		return func(zone string) bool { return !slices.Contains(distinct, zone) }
	}
	return func(zone string) bool { return zone == taken[0] }
}

// zonesOf returns the zone of each replica.
func (b *Builder) zonesOf(replicas []cluster.Replica) []string {
	zones := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		zones = append(zones, b.zone(replica.Store))
	}
	return zones
}

// zone returns the zone of a store, or "" if the table does not list it.
func (b *Builder) zone(store string) string {
	if entry := b.store(store); entry != nil {
		return entry.Zone
	}
	return ""
}
