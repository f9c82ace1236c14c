//go:build !race

package replication

// propose appends a change at the primary.
func (m *model) propose(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	if state.proposed >= m.limits.changes || d.log.len() >= maxChanges || d.promised != d.epoch {
		return
	}
	next := *state
	c := &next.disks[disk]
	next.proposed++
	c.log = c.log.append(modelEntry{d.epoch, next.proposed})
	c.acks[c.log.len()-1] = diskSet(0).with(disk)
	next.candidacies[disk][d.epoch].extended = c.log
	next.acknowledge(m, disk)
	add(next, "%s proposes change %d", diskName(disk), next.proposed)
}

// serveRead begins and ends an operator's request that changes nothing: a read, or an order that is rejected or was
// carried out before.
func (m *model) serveRead(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	if d.promised != d.epoch {
		return
	}
	if !d.reading {
		if state.reads >= m.limits.reads {
			return
		}
		next := *state
		next.reads++
		c := &next.disks[disk]
		c.reading, c.ackedBeforeRead, c.confirmedBy = true, uint8(state.acked.len()), diskSet(0).with(disk)
		add(next, "%s is asked", diskName(disk))
		return
	}
	if !m.rules.mayServeRead(d.making, d.confirmedBy) {
		return
	}
	next := *state
	c := &next.disks[disk]
	c.reading, c.ackedBeforeRead, c.confirmedBy = false, 0, 0
	next.staleRead = !d.log.extends(state.acked.prefix(int(d.ackedBeforeRead)))
	add(next, "%s answers", diskName(disk))
}
