//go:build !race

package replication

// calls adds the steps of one process upon the calls that another has sent in any epoch.
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
	w := &state.disks[to]
	if !sent.base.everyone().has(to) || !m.rules.allows(w, epoch, from) || !m.rules.vote(w, to, sent.base) {
		return
	}
	if m.supportsOther(w, from) || !m.rules.ignoresLeases && m.holdsLease(to, w) {
		return
	}
	next := *state
	next.disks[to].promiseTo(epoch, from)
	add(next, "%s promises %d to %s", diskName(to), epoch, diskName(from))
	if c := &next.disks[from]; c.phase == collecting && c.epoch == epoch {
		c.granted = c.granted.with(to)
		if w.accepted.epoch > c.newest.epoch {
			c.newest = w.accepted
		}
		add(next, "%s promises %d to %s, which hears of it", diskName(to), epoch, diskName(from))
	}
}

// attach handles an attach call: where both logs end alike, or with a snapshot.
func (m *model) attach(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	w := &state.disks[to]
	if !sent.aligning || !m.rules.allows(w, epoch, from) || epoch < w.follows {
		return
	}
	attached := func(log modelLog, what string) {
		next := *state
		next.disks[to].promiseTo(epoch, from)
		next.disks[to].follows, next.disks[to].log = epoch, log
		add(next, "%s follows %s in %d%s", diskName(to), diskName(from), epoch, what)
		if c := &next.disks[from]; c.epoch == epoch && c.log == log {
			switch {
			case c.phase == aligning:
				c.respondents = c.respondents.with(to)
			case c.phase == primary && state.isSpare(to):
				c.learners = c.learners.with(to)
			default:
				return
			}
			add(next, "%s follows %s in %d%s, which hears of it", diskName(to), diskName(from), epoch, what)
		}
	}
	if sent.base.everyone().has(to) && w.log.last() == sent.log.last() {
		attached(w.log, "")
	}
	for length := sent.log.len(); length <= sent.extended.len(); length++ {
		ahead := w.log.len() > length && w.log.last().Epoch == uint64(epoch)
		if !ahead {
			attached(m.rules.snapshotOf(sent.extended.prefix(length)), " by a copy")
		}
	}
}

// accept handles an accept call.
func (m *model) accept(state *modelState, from, to int, epoch uint8, add addStep) {
	view := state.candidacies[from][epoch].view
	if view.epoch == 0 || !view.everyone().has(to) || !m.rules.allows(&state.disks[to], epoch, from) {
		return
	}
	next := *state
	next.disks[to].promiseTo(epoch, from)
	next.disks[to].accepted = view
	if m.limits.leases {
		next.disks[to].supports = int8(from + 1)
	}
	add(next, "%s accepts the view %d of %s", diskName(to), epoch, diskName(from))
	if c := &next.disks[from]; c.phase == accepting && c.epoch == epoch {
		c.respondents = c.respondents.with(to)
		add(next, "%s accepts the view %d of %s, which hears of it", diskName(to), epoch, diskName(from))
	}
}

// appendEntry handles an append call with an entry.
func (m *model) appendEntry(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	w := &state.disks[to]
	if !sent.view.inSync.has(to) || !m.rules.allows(w, epoch, from) || !m.rules.mayAppend(w, epoch, from) {
		return
	}
	for index := sent.log.len(); index < sent.extended.len(); index++ {
		follows := w.log.last() == sent.extended.prefix(index).last()
		repeated := w.log.len() > index && w.log.last() == sent.extended.prefix(w.log.len()).last()
		if !follows && !repeated {
			continue
		}
		next := *state
		if follows {
			next.disks[to].log = w.log.append(sent.extended.at(index))
		}
		add(next, "%s logs entry %d of %s", diskName(to), index+1, diskName(from))
		if c := &next.disks[from]; c.phase == primary && c.epoch == epoch && c.promised == epoch {
			c.acks[index] = c.acks[index].with(to)
			next.acknowledge(m, from)
			add(next, "%s logs entry %d of %s, which hears of it", diskName(to), index+1, diskName(from))
		}
	}
}

// confirm handles an append call without entries, which asks whether an epoch still holds.
func (m *model) confirm(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	w := &state.disks[to]
	caller := &state.disks[from]
	if !caller.reading || caller.phase != primary || caller.epoch != epoch || !sent.view.inSync.has(to) {
		return
	}
	if !m.rules.allows(w, epoch, from) || !m.rules.mayAppend(w, epoch, from) {
		return
	}
	next := *state
	next.disks[from].confirmedBy = caller.confirmedBy.with(to)
	add(next, "%s confirms %d to %s", diskName(to), epoch, diskName(from))
}

// heartbeat handles a heartbeat, however long it was under way.
func (m *model) heartbeat(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	w := &state.disks[to]
	if sent.view.epoch == 0 || !sent.view.everyone().has(to) || !m.rules.allows(w, epoch, from) {
		return
	}
	next := *state
	next.disks[to].supports = int8(from + 1)
	add(next, "%s hears %s in %d", diskName(to), diskName(from), epoch)
	c := &next.disks[from]
	if c.phase != primary || c.epoch != epoch || c.leaseLapsed || w.accepted.epoch < epoch {
		return
	}
	c.supporters = c.supporters.with(to)
	add(next, "%s hears %s in %d, which counts on it", diskName(to), diskName(from), epoch)
}
