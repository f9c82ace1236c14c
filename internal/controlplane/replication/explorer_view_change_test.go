//go:build !race

package replication

// campaign makes a process claim an epoch: as a candidate in an election, or as the primary for another view.
func (m *model) campaign(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	base := current.accepted
	if base.epoch == 0 || !m.mayLead(base, disk) || m.limits.candidates > 0 && disk >= m.limits.candidates {
		return
	}
	if m.supportsOther(current, disk) {
		return
	}
	for epoch := current.promised + 1; epoch <= m.limits.epochs; epoch++ {
		if state.candidacies[disk][epoch].active {
			continue
		}
		next := *state
		changed := &next.disks[disk]
		changed.promised, changed.promisedTo, changed.follows = epoch, int8(disk), epoch
		changed.phase, changed.epoch, changed.granted, changed.newest = collecting, epoch, diskSet(0).with(disk), base
		changed.ownView, changed.respondents, changed.acks = modelView{}, 0, [maxChanges]diskSet{}
		changed.reading, changed.ackedBeforeRead, changed.confirmedBy = false, 0, 0
		changed.supports, changed.supporters, changed.leaseLapsed = 0, 0, false
		next.candidacies[disk][epoch] = candidacy{active: true, base: base, log: changed.log, extended: changed.log}
		add(next, "%s campaigns in epoch %d", diskName(disk), epoch)
	}
}

func (m *model) mayLead(newest modelView, disk int) bool {
	return newest.allMembers().has(disk) && m.rules.mayLead(newest, disk)
}

// beginAligning derives the new view when a majority has promised.
func (m *model) beginAligning(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	if current.newest.epoch >= current.epoch || !m.rules.quorum(current.newest, current.granted) || !m.mayLead(current.newest, disk) {
		return
	}
	begin := func(members, previous diskSet, suffix string) {
		next := *state
		changed := &next.disks[disk]
		changed.phase = aligning
		changed.ownView = modelView{epoch: current.epoch, primary: int8(disk), members: members, previous: previous}
		changed.respondents = diskSet(0).with(disk)
		next.candidacies[disk][current.epoch].aligning = true
		if previous != current.newest.previous && previous != 0 && !m.replacesLost(state, members, previous) {
			next.changes++
		}
		add(next, "%s aligns in epoch %d%s", diskName(disk), current.epoch, suffix)
	}
	begin(current.newest.members, current.newest.previous, "")
	if int(current.newest.primary) != disk {
		return
	}
	if current.newest.previous != 0 && current.newest == current.accepted {
		begin(current.newest.members, 0, " without the previous members")
	}
	if m.rules.mayChangeMembers(current.newest) {
		m.changeMembers(state, disk, begin)
	}
}

// replacesLost reports whether a membership change removes only lost members and adds as many.
func (m *model) replacesLost(state *modelState, members, previous diskSet) bool {
	removed := (previous &^ members).disks()
	for _, disk := range removed {
		if !state.disks[disk].lost {
			return false
		}
	}
	return len(removed) > 0 && len(members.disks()) == len(previous.disks())
}

// changeMembers derives views with changed members.
func (m *model) changeMembers(state *modelState, disk int, begin func(members, previous diskSet, suffix string)) {
	current := &state.disks[disk]
	members := current.newest.members
	for _, learner := range current.learners.disks() {
		if members.has(learner) {
			continue
		}
		for _, removed := range members.without(disk).disks() {
			if state.disks[removed].lost || state.changes < m.limits.memberChanges {
				begin(members.without(removed).with(learner), members, " with "+diskName(learner)+" in place of "+diskName(removed))
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

// beginAccepting fixes the in-sync set when enough disks are aligned.
func (m *model) beginAccepting(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	view := current.ownView
	view.inSync = m.rules.inSync(view, current.respondents)
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
	changed := &next.disks[disk]
	changed.phase, changed.ownView, changed.respondents = accepting, view, diskSet(0).with(disk)
	changed.accepted = view
	next.candidacies[disk][view.epoch].view = view
	add(next, "%s accepts its own view %d with %v in sync", diskName(disk), view.epoch, view.inSync.disks())
}

func (m *model) allowsNow(state *modelState, disk int, epoch uint8) bool {
	return m.rules.allows(&state.disks[disk], epoch, disk)
}

// enterView makes a process lead when a majority has accepted its view. The whole log is committed then.
func (m *model) enterView(state *modelState, disk int, add addStep) {
	current := &state.disks[disk]
	if !m.rules.quorum(current.ownView, current.respondents) || current.promised != current.epoch {
		return
	}
	next := *state
	changed := &next.disks[disk]
	changed.phase, changed.acks = primary, [maxChanges]diskSet{}
	changed.leaseLapsed = false
	for _, member := range current.respondents.without(disk).disks() {
		if m.limits.leases && int(state.disks[member].supports) == disk+1 {
			changed.supporters = changed.supporters.with(member)
		}
	}
	changed.leaseLapsed = m.limits.leases && !m.rules.leaseValid(changed.ownView, disk, changed.supporters)
	next.highestLedEpoch = max(next.highestLedEpoch, changed.epoch)
	if changed.log.len() > next.acked.len() && changed.log.extends(next.acked) {
		next.acked = changed.log
	}
	add(next, "%s leads in epoch %d", diskName(disk), current.epoch)
}
