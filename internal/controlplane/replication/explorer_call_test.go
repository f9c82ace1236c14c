//go:build !race

package replication

// calls adds the steps in which one process handles the calls that another has sent in any epoch.
func (m *model) calls(state *modelState, from, to int, add addStep) {
	for epoch := uint8(1); epoch <= m.limits.epochs; epoch++ {
		sent := &state.candidacies[from][epoch]
		if !sent.active {
			continue
		}
		m.prepare(state, from, to, epoch, add)
		m.attach(state, from, to, epoch, add)
		m.accept(state, from, to, epoch, add)
		m.appendEntry(state, from, to, epoch, add)
		m.confirm(state, from, to, epoch, add)
		if m.limits.leases {
			m.heartbeat(state, from, to, epoch, add)
		}
	}
}

// prepare handles a prepare call.
func (m *model) prepare(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	receiver := &state.disks[to]
	if !sent.base.allMembers().has(to) || !m.rules.allows(receiver, epoch, from) || !m.rules.vote(receiver, to, sent.base) {
		return
	}
	if m.supportsOther(receiver, from) || !m.rules.ignoresLeases && m.holdsLease(to, receiver) {
		return
	}
	next := *state
	next.disks[to].promiseTo(epoch, from)
	add(next, "%s promises epoch %d to %s", diskName(to), epoch, diskName(from))
	if caller := &next.disks[from]; caller.phase == collecting && caller.epoch == epoch {
		caller.granted = caller.granted.with(to)
		if receiver.accepted.epoch > caller.newest.epoch {
			caller.newest = receiver.accepted
		}
		add(next, "%s promises epoch %d to %s, response received", diskName(to), epoch, diskName(from))
	}
}

// attach handles an attach call, without a snapshot if both logs end at the same position, or with one.
func (m *model) attach(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	receiver := &state.disks[to]
	if !sent.aligning || !m.rules.allows(receiver, epoch, from) || epoch < receiver.follows {
		return
	}
	attached := func(log modelLog, suffix string) {
		next := *state
		next.disks[to].promiseTo(epoch, from)
		next.disks[to].follows, next.disks[to].log = epoch, log
		add(next, "%s follows %s in epoch %d%s", diskName(to), diskName(from), epoch, suffix)
		if caller := &next.disks[from]; caller.epoch == epoch && caller.log == log {
			switch {
			case caller.phase == aligning:
				caller.respondents = caller.respondents.with(to)
			case caller.phase == primary && state.isSpare(to):
				caller.learners = caller.learners.with(to)
			default:
				return
			}
			add(next, "%s follows %s in epoch %d%s, response received", diskName(to), diskName(from), epoch, suffix)
		}
	}
	if sent.base.allMembers().has(to) && receiver.log.last() == sent.log.last() {
		attached(receiver.log, "")
	}
	for length := sent.log.len(); length <= sent.extended.len(); length++ {
		ahead := receiver.log.len() > length && receiver.log.last().Epoch == uint64(epoch)
		if !ahead {
			attached(m.rules.snapshotOf(sent.extended.prefix(length)), " by snapshot")
		}
	}
}

// accept handles an accept call.
func (m *model) accept(state *modelState, from, to int, epoch uint8, add addStep) {
	view := state.candidacies[from][epoch].view
	if view.epoch == 0 || !view.allMembers().has(to) || !m.rules.allows(&state.disks[to], epoch, from) {
		return
	}
	next := *state
	next.disks[to].promiseTo(epoch, from)
	next.disks[to].accepted = view
	if m.limits.leases {
		next.disks[to].supports = int8(from + 1)
	}
	add(next, "%s accepts view %d of %s", diskName(to), epoch, diskName(from))
	if caller := &next.disks[from]; caller.phase == accepting && caller.epoch == epoch {
		caller.respondents = caller.respondents.with(to)
		add(next, "%s accepts view %d of %s, response received", diskName(to), epoch, diskName(from))
	}
}

// appendEntry handles an append call with an entry.
func (m *model) appendEntry(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	receiver := &state.disks[to]
	if !sent.view.inSync.has(to) || !m.rules.allows(receiver, epoch, from) || !m.rules.mayAppend(receiver, epoch, from) {
		return
	}
	for index := sent.log.len(); index < sent.extended.len(); index++ {
		follows := receiver.log.last() == sent.extended.prefix(index).last()
		repeated := receiver.log.len() > index && receiver.log.last() == sent.extended.prefix(receiver.log.len()).last()
		if !follows && !repeated {
			continue
		}
		next := *state
		if follows {
			next.disks[to].log = receiver.log.append(sent.extended.at(index))
		}
		add(next, "%s appends entry %d of %s", diskName(to), index+1, diskName(from))
		if caller := &next.disks[from]; caller.phase == primary && caller.epoch == epoch && caller.promised == epoch {
			caller.acks[index] = caller.acks[index].with(to)
			next.acknowledge(m, from)
			add(next, "%s appends entry %d of %s, response received", diskName(to), index+1, diskName(from))
		}
	}
}

// confirm handles an append call without entries, which asks whether the receiver still follows the epoch.
func (m *model) confirm(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	receiver := &state.disks[to]
	caller := &state.disks[from]
	if !caller.reading || caller.phase != primary || caller.epoch != epoch || !sent.view.inSync.has(to) {
		return
	}
	if !m.rules.allows(receiver, epoch, from) || !m.rules.mayAppend(receiver, epoch, from) {
		return
	}
	next := *state
	next.disks[from].confirmedBy = caller.confirmedBy.with(to)
	add(next, "%s confirms epoch %d to %s", diskName(to), epoch, diskName(from))
}

// heartbeat handles a heartbeat, however long it was in transit.
func (m *model) heartbeat(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	receiver := &state.disks[to]
	if sent.view.epoch == 0 || !sent.view.allMembers().has(to) || !m.rules.allows(receiver, epoch, from) {
		return
	}
	next := *state
	next.disks[to].supports = int8(from + 1)
	add(next, "%s receives a heartbeat of %s in epoch %d", diskName(to), diskName(from), epoch)
	caller := &next.disks[from]
	if caller.phase != primary || caller.epoch != epoch || caller.leaseLapsed || receiver.accepted.epoch < epoch {
		return
	}
	caller.supporters = caller.supporters.with(to)
	add(next, "%s receives a heartbeat of %s in epoch %d, response received", diskName(to), diskName(from), epoch)
}
