//go:build !race

package replication

// propose appends a change at the primary.
func (m *model) propose(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	if state.proposed >= m.limits.changes || current.log.len() >= maxChanges || current.promised != current.epoch {
		return
	}
	next := *state
	changed := &next.disks[disk]
	next.proposed++
	changed.log = changed.log.append(modelEntry{current.epoch, next.proposed})
	changed.acks[changed.log.len()-1] = diskSet(0).with(disk)
	next.candidacies[disk][current.epoch].extended = changed.log
	next.acknowledge(m, disk)
	add(next, "%s proposes change %d", diskName(disk), next.proposed)
}

// serveRead begins or completes an operator's call that changes nothing: a read, or a configuration request that is
// rejected or was already applied.
func (m *model) serveRead(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	if current.promised != current.epoch {
		return
	}
	if !current.reading {
		if state.reads >= m.limits.reads {
			return
		}
		next := *state
		next.reads++
		changed := &next.disks[disk]
		changed.reading, changed.ackedBeforeRead, changed.confirmedBy = true, uint8(state.acked.len()), diskSet(0).with(disk)
		add(next, "%s receives a read", diskName(disk))
		return
	}
	if !m.rules.mayServeRead(current.ownView, current.confirmedBy) {
		return
	}
	next := *state
	changed := &next.disks[disk]
	changed.reading, changed.ackedBeforeRead, changed.confirmedBy = false, 0, 0
	next.staleRead = !current.log.extends(state.acked.prefix(int(current.ackedBeforeRead)))
	add(next, "%s serves the read", diskName(disk))
}
