//go:build !race

package replication

// faults adds crashes, losses of disks and replacements.
func (m *model) faults(state *modelState, disk int, add addStep) {
	if state.crashes < m.limits.crashes {
		next := *state
		next.crashes++
		next.disks[disk].restart(m.limits.leases)
		m.rules.restart(&next.disks[disk])
		add(next, "%s restarts", diskName(disk))
	}
	if state.losses < m.limits.losses && m.mayLose(state, disk) {
		next := *state
		next.losses++
		next.disks[disk] = modelDisk{lost: !m.rules.wipedReturns}
		if m.rules.wipedReturns {
			next.disks[disk].accepted = state.disks[disk].accepted
			next.disks[disk].promised = 1 // it votes as if it had never promised anything later
		}
		add(next, "%s loses its disk", diskName(disk))
	}
	if state.joined < m.limits.joins && (state.losses > 0 || m.limits.memberChanges > 0) {
		next := *state
		next.joined++
		add(next, "a replacement starts")
	}
}

// mayLose reports whether a disk may be lost now. Where losses are repaired one after the other, the next one comes
// when the newest view in force has no lost member, nor previous members.
func (m *model) mayLose(state *modelState, disk int) bool {
	if !m.limits.repaired {
		return !state.isSpare(disk)
	}
	for number := range modelDisks {
		leader := &state.disks[number]
		if leader.phase != primary || leader.epoch != state.led || leader.making.previous != 0 {
			continue
		}
		for _, member := range leader.making.members.disks() {
			if state.disks[member].lost {
				return false
			}
		}
		return true
	}
	return state.losses == 0
}
