//go:build !race

package replication

// faults adds the steps in which a process restarts, a disk is lost, or a disk is added.
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
			next.disks[disk].promised = 1 // it has forgotten later promises
		}
		add(next, "%s loses its disk", diskName(disk))
	}
	if state.addedDisks < m.limits.joins && (state.losses > 0 || m.limits.memberChanges > 0) {
		next := *state
		next.addedDisks++
		add(next, "a replacement starts")
	}
}

// mayLose reports whether a disk may be lost now. With modelLimits.oneLossAtATime, the next disk may be lost only when
// the newest view in force has neither a lost member nor previous members.
func (m *model) mayLose(state *modelState, disk int) bool {
	if !m.limits.oneLossAtATime {
		return !state.isSpare(disk)
	}
	for number := range modelDisks {
		leader := &state.disks[number]
		if leader.phase != primary || leader.epoch != state.highestLedEpoch || leader.ownView.previous != 0 {
			continue
		}
		for _, member := range leader.ownView.members.disks() {
			if state.disks[member].lost {
				return false
			}
		}
		return true
	}
	return state.losses == 0
}
