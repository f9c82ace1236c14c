//go:build !race

package replication

// expireLeases ends what holds for a time only: that a member renews a primary's lease, and that a witness supports
// a primary.
func (m *model) expireLeases(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	for _, member := range d.supporters.disks() {
		next := *state
		c := &next.disks[disk]
		c.supporters = c.supporters.without(member)
		c.leaseLapsed = d.leaseLapsed || !m.rules.leaseValid(d.making, disk, c.supporters)
		add(next, "%s counts on %s no more", diskName(disk), diskName(member))
	}
	if d.supports == 0 {
		return
	}
	leader := &state.disks[d.supports-1]
	if leader.phase == primary && leader.supporters.has(disk) && !m.rules.leavesPrimaryEarly {
		return
	}
	next := *state
	next.disks[disk].supports = 0
	add(next, "%s stands by %s no more", diskName(disk), diskName(int(d.supports-1)))
}

// supportsOther reports whether a witness supports a primary other than a candidate.
func (m *model) supportsOther(witness *modelDisk, candidate int) bool {
	return m.limits.leases && !m.rules.ignoresLeases && witness.supports != 0 && int(witness.supports) != candidate+1
}

// holdsLease reports whether a primary may serve reads from its own state.
func (m *model) holdsLease(disk int, d *modelDisk) bool {
	return m.limits.leases && d.phase == primary && !d.leaseLapsed && m.rules.leaseValid(d.making, disk, d.supporters)
}
