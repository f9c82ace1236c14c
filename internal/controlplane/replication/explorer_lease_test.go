//go:build !race

package replication

// expireLeases adds the steps in which time-limited support ends: a member's renewal of a primary's lease expires, or a
// witness stops supporting a primary.
func (m *model) expireLeases(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	for _, member := range current.supporters.disks() {
		next := *state
		changed := &next.disks[disk]
		changed.supporters = changed.supporters.without(member)
		changed.leaseLapsed = current.leaseLapsed || !m.rules.leaseValid(current.ownView, disk, changed.supporters)
		add(next, "%s no longer counts the support of %s", diskName(disk), diskName(member))
	}
	if current.supports == 0 {
		return
	}
	leader := &state.disks[current.supports-1]
	if leader.phase == primary && leader.supporters.has(disk) && !m.rules.dropsSupportEarly {
		return
	}
	next := *state
	next.disks[disk].supports = 0
	add(next, "%s no longer supports %s", diskName(disk), diskName(int(current.supports-1)))
}

// supportsOther reports whether a witness supports a primary other than a candidate.
func (m *model) supportsOther(witness *modelDisk, candidate int) bool {
	return m.limits.leases && !m.rules.ignoresLeases && witness.supports != 0 && int(witness.supports) != candidate+1
}

// holdsLease reports whether a primary may serve reads from its own state.
func (m *model) holdsLease(number int, disk *modelDisk) bool {
	if !m.limits.leases || disk.phase != primary || disk.leaseLapsed {
		return false
	}
	return m.rules.leaseValid(disk.ownView, number, disk.supporters)
}
