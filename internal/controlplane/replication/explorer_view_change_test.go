//go:build !race

package replication

// campaign takes an epoch for a process: as a candidate in an election, or as the primary for another view.
func (m *model) campaign(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	base := d.accepted
	if base.epoch == 0 || !m.maySucceed(base, disk) || m.limits.candidates > 0 && disk >= m.limits.candidates {
		return
	}
	if m.supportsOther(d, disk) {
		return
	}
	for epoch := d.promised + 1; epoch <= m.limits.epochs; epoch++ {
		if state.candidacies[disk][epoch].active {
			continue
		}
		next := *state
		c := &next.disks[disk]
		c.promised, c.promisedTo, c.follows = epoch, int8(disk), epoch
		c.phase, c.epoch, c.granted, c.newest = collecting, epoch, diskSet(0).with(disk), base
		c.making, c.respondents, c.acks = modelView{}, 0, [maxChanges]diskSet{}
		c.reading, c.ackedBeforeRead, c.confirmedBy = false, 0, 0
		c.supports, c.supporters, c.leaseLapsed = 0, 0, false
		next.candidacies[disk][epoch] = candidacy{active: true, base: base, log: c.log, extended: c.log}
		add(next, "%s stands in %d", diskName(disk), epoch)
	}
}

func (m *model) maySucceed(newest modelView, disk int) bool {
	return newest.everyone().has(disk) && m.rules.maySucceed(newest, disk)
}

// beginAligning derives the new view, once a majority has promised.
func (m *model) beginAligning(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	if d.newest.epoch >= d.epoch || !m.rules.quorum(d.newest, d.granted) || !m.maySucceed(d.newest, disk) {
		return
	}
	begin := func(members, previous diskSet, what string) {
		next := *state
		c := &next.disks[disk]
		c.phase = aligning
		c.making = modelView{epoch: d.epoch, primary: int8(disk), members: members, previous: previous}
		c.respondents = diskSet(0).with(disk)
		next.candidacies[disk][d.epoch].aligning = true
		if previous != d.newest.previous && previous != 0 && !m.replacesLost(state, members, previous) {
			next.changes++
		}
		add(next, "%s aligns in %d%s", diskName(disk), d.epoch, what)
	}
	begin(d.newest.members, d.newest.previous, "")
	if int(d.newest.primary) != disk {
		return
	}
	if d.newest.previous != 0 && d.newest == d.accepted {
		begin(d.newest.members, 0, " without the former members")
	}
	if m.rules.mayChangeMembers(d.newest) {
		m.changeMembers(state, disk, begin)
	}
}

// replacesLost reports whether a change of the members removes lost ones only and adds as many.
func (m *model) replacesLost(state *modelState, members, previous diskSet) bool {
	removed := (previous &^ members).disks()
	for _, disk := range removed {
		if !state.disks[disk].lost {
			return false
		}
	}
	return len(removed) > 0 && len(members.disks()) == len(previous.disks())
}

// changeMembers derives views with other members.
func (m *model) changeMembers(state *modelState, disk int, begin func(members, previous diskSet, what string)) {
	d := &state.disks[disk]
	members := d.newest.members
	for _, learner := range d.learners.disks() {
		if members.has(learner) {
			continue
		}
		for _, removed := range members.without(disk).disks() {
			if state.disks[removed].lost || state.changes < m.limits.memberChanges {
				begin(members.without(removed).with(learner), members, " with "+diskName(learner)+" for "+diskName(removed))
			}
		}
		if state.changes < m.limits.memberChanges {
			begin(members.with(learner), members, " with "+diskName(learner))
		}
	}
	if state.changes >= m.limits.memberChanges || len(members.disks()) <= 2 {
		return
	}
	for _, removed := range members.without(disk).disks() {
		begin(members.without(removed), members, " without "+diskName(removed))
	}
}

// beginAccepting fixes the in-sync set, once enough disks are aligned.
func (m *model) beginAccepting(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	view := d.making
	view.inSync = m.rules.inSync(view, d.respondents)
	if len(view.inSync.disks()) < view.view().minInSync(m.limits.replicationFactor) {
		return
	}
	if added := view.members &^ view.previous; view.previous != 0 && !view.inSync.contains(added) {
		return // a new member must be in sync
	}
	if !m.allowsNow(state, disk, view.epoch) {
		return
	}
	next := *state
	c := &next.disks[disk]
	c.phase, c.making, c.respondents = accepting, view, diskSet(0).with(disk)
	c.accepted = view
	next.candidacies[disk][view.epoch].view = view
	add(next, "%s accepts its view %d with %v in sync", diskName(disk), view.epoch, view.inSync.disks())
}

func (m *model) allowsNow(state *modelState, disk int, epoch uint8) bool {
	return m.rules.allows(&state.disks[disk], epoch, disk)
}

// enterView begins to lead, once a majority has accepted. The whole log is committed then.
func (m *model) enterView(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	if !m.rules.quorum(d.making, d.respondents) || d.promised != d.epoch {
		return
	}
	next := *state
	c := &next.disks[disk]
	c.phase, c.acks = primary, [maxChanges]diskSet{}
	c.leaseLapsed = false
	for _, member := range d.respondents.without(disk).disks() {
		if m.limits.leases && int(state.disks[member].supports) == disk+1 {
			c.supporters = c.supporters.with(member)
		}
	}
	c.leaseLapsed = m.limits.leases && !m.rules.leaseValid(c.making, disk, c.supporters)
	next.led = max(next.led, c.epoch)
	if c.log.len() > next.acked.len() && c.log.extends(next.acked) {
		next.acked = c.log
	}
	add(next, "%s leads in %d", diskName(disk), d.epoch)
}
