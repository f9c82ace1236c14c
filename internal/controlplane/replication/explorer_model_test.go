//go:build !race

package replication

import (
	"fmt"
	"slices"
	"strings"

	"gladepick/internal/modelcheck"
)

// The model is the group's protocol without time, disks and connections: what processes do upon calls, in any order.
// A call may be handled at any later moment or never, and its answer may be lost. An answer that is late adds nothing:
// its receiver's steps are all optional, so it may as well have come early. The rules of quorums and witnesses are the
// group's own code.
//
// Without leases the model allows more elections than the group does. With them (modelLimits.leases) a witness stands by a
// primary that it has heard, and stops at any moment at which that primary does not count it any more: the primary counts
// from the sending of a heartbeat, the witness from its arrival, and steady clocks run alike.

// modelDisks is the most disks that a model has, a replacement among them.
const modelDisks = 5

// diskSet is a set of disks by number.
type diskSet uint8

func (s diskSet) has(disk int) bool         { return s&(1<<disk) != 0 }
func (s diskSet) with(disk int) diskSet     { return s | 1<<disk }
func (s diskSet) without(disk int) diskSet  { return s &^ (1 << disk) }
func (s diskSet) union(o diskSet) diskSet   { return s | o }
func (s diskSet) contains(o diskSet) bool   { return o&^s == 0 }
func setOf(count int) diskSet               { return 1<<count - 1 }
func diskName(disk int) string              { return string(rune('a' + disk)) }
func (s diskSet) isMember(name string) bool { return s.has(int(name[0] - 'a')) }

func (s diskSet) disks() []int {
	var all []int
	for disk := range modelDisks {
		if s.has(disk) {
			all = append(all, disk)
		}
	}
	return all
}

func (s diskSet) members() []Member {
	var all []Member
	for _, disk := range s.disks() {
		all = append(all, Member{Name: diskName(disk), DiskID: diskName(disk)})
	}
	return all
}

// modelView is a View with sets in place of lists.
type modelView struct {
	epoch    uint8
	primary  int8
	inSync   diskSet
	members  diskSet
	previous diskSet
}

func (v modelView) view() View {
	view := View{Epoch: uint64(v.epoch), Primary: diskName(int(v.primary)), Members: v.members.members(), Previous: v.previous.members()}
	for _, disk := range v.inSync.disks() {
		view.InSync = append(view.InSync, diskName(disk))
	}
	return view
}

func (v modelView) everyone() diskSet { return v.members.union(v.previous) }

// modelEntry is a change in a log: the epoch in which it was made, and which change it is.
type modelEntry struct{ epoch, change uint8 }

// modelLog is a log, as a string of pairs, so that states can be compared.
type modelLog string

func (l modelLog) len() int { return len(l) / 2 }

func (l modelLog) at(index int) modelEntry { return modelEntry{l[2*index], l[2*index+1]} }

func (l modelLog) append(added modelEntry) modelLog {
	return l + modelLog([]byte{added.epoch, added.change})
}

func (l modelLog) prefix(length int) modelLog { return l[:2*length] }

func (l modelLog) extends(other modelLog) bool { return strings.HasPrefix(string(l), string(other)) }

// last is the position of the end.
func (l modelLog) last() position {
	if l.len() == 0 {
		return position{}
	}
	return position{Epoch: uint64(l.at(l.len() - 1).epoch), Index: uint64(l.len())}
}

// modelDisk is what one disk holds, and what its process has in memory.
type modelDisk struct {
	promised   uint8
	promisedTo int8
	accepted   modelView
	log        modelLog
	lost       bool

	follows     uint8 // the epoch whose primary's log this process follows; 0 after a restart
	phase       modelPhase
	epoch       uint8 // that it stands or leads in
	granted     diskSet
	newest      modelView // of those that have come with promises
	making      modelView
	respondents diskSet // disks that have been aligned, then those that have accepted
	acks        [maxChanges]diskSet
	learners    diskSet // taught, to become members

	reading         bool    // a question of an operator is open here
	ackedBeforeRead uint8   // how much was acknowledged when it came
	confirmedBy     diskSet // who has confirmed this primary since

	supports    int8    // the primary that this witness stands by, counted from 1; 0 for none
	supporters  diskSet // whom this primary counts on
	leaseLapsed bool    // its lease has run out in this view
}

// modelPhase is how far a process has got in making a view.
type modelPhase uint8

const (
	following modelPhase = iota
	collecting
	aligning
	accepting
	primary
)

// maxChanges bounds the entries of a log.
const maxChanges = 3

// candidacy is what a process has sent out in an epoch: calls that may still be handled.
type candidacy struct {
	active   bool
	aligning bool // to follow its log, once it had a majority's promises
	base     modelView
	log      modelLog // at the start of the epoch
	extended modelLog // with what was proposed since
	view     modelView
}

// modelState is a state of the whole group.
type modelState struct {
	disks       [modelDisks]modelDisk
	candidacies [modelDisks][maxEpochs + 1]candidacy
	acked       modelLog // what was acknowledged, in order
	crashes     uint8
	losses      uint8
	joined      uint8
	proposed    uint8
	led         uint8 // the highest epoch that anyone has led in
	reads       uint8
	changes     uint8 // of the members
	staleRead   bool  // a question was answered by a process that lacked what was acknowledged before it came
}

// maxEpochs bounds the epochs.
const maxEpochs = 6

// modelRules are the rules that mutations change.
type modelRules struct {
	quorum       func(view modelView, has diskSet) bool
	allows       func(disk *modelDisk, epoch uint8, candidate int) bool
	mayAppend    func(disk *modelDisk, epoch uint8, from int) bool
	maySucceed   func(newest modelView, candidate int) bool
	committed    func(view modelView, acks diskSet) bool
	restart      func(disk *modelDisk)
	vote         func(disk *modelDisk, voter int, base modelView) bool
	wipedReturns bool // a wiped disk comes back under its old name

	mayServeRead       func(view modelView, answered diskSet) bool          // a question of an operator
	mayChangeMembers   func(newest modelView) bool                          // the members, again
	inSync             func(view modelView, aligned diskSet) diskSet        // the in-sync set of a new view
	snapshotOf         func(log modelLog) modelLog                          // what a copy of the whole state holds
	leaseValid         func(view modelView, self int, counted diskSet) bool // in time terms: answers within the lease
	leavesPrimaryEarly bool                                                 // a witness may leave a primary that counts on it
	ignoresLeases      bool                                                 // processes vote and stand while they stand by a primary
}

// groupRules are the group's own.
func groupRules() modelRules {
	type question struct{ members, previous, has diskSet }
	answers := map[question]bool{}
	return modelRules{
		quorum: func(view modelView, has diskSet) bool {
			asked := question{view.members, view.previous, has}
			response, known := answers[asked]
			if !known {
				response = view.view().hasQuorum(has.isMember)
				answers[asked] = response
			}
			return response
		},
		allows: func(disk *modelDisk, epoch uint8, candidate int) bool {
			record := witnessRecord{Promised: uint64(disk.promised), PromisedTo: diskName(int(disk.promisedTo))}
			return record.allows(uint64(epoch), diskName(candidate))
		},
		mayAppend:        func(disk *modelDisk, epoch uint8, _ int) bool { return disk.follows == epoch },
		maySucceed:       func(newest modelView, candidate int) bool { return newest.inSync.has(candidate) },
		committed:        func(view modelView, acks diskSet) bool { return acks.contains(view.inSync) },
		mayServeRead:     func(view modelView, answered diskSet) bool { return answered.contains(view.inSync) },
		mayChangeMembers: func(newest modelView) bool { return newest.previous == 0 },
		inSync:           func(view modelView, aligned diskSet) diskSet { return aligned & view.members },
		snapshotOf:       func(log modelLog) modelLog { return log },
		leaseValid: func(view modelView, self int, counted diskSet) bool {
			counted = counted.with(self)
			return counted.contains(view.inSync) && view.view().hasQuorum(counted.isMember)
		},
		restart: func(*modelDisk) {},
		vote: func(disk *modelDisk, voter int, base modelView) bool {
			view := disk.accepted
			if base.epoch > view.epoch {
				view = base
			}
			return view.everyone().has(voter)
		},
	}
}

// modelLimits bound what may happen in a play.
type modelLimits struct {
	disks             int // members at the founding
	replicationFactor int
	epochs            uint8
	changes           uint8
	crashes           uint8
	losses            uint8
	joins             uint8 // disks that are added, as replacements of lost ones or beside the others
	candidates        int   // so many of the first disks stand in elections; 0 for all

	reads         uint8 // questions of operators
	leases        bool  // witnesses stand by primaries that they have heard
	memberChanges uint8 // additions and removals of members that are not lost
	repaired      bool  // a disk is lost only while the group has none to replace
}

// founded is the state after the founding: the first disk leads all others.
func bootstrapped(limits modelLimits) modelState {
	var state modelState
	all := setOf(limits.disks)
	view := modelView{epoch: 1, inSync: all, members: all}
	for disk := range limits.disks {
		state.disks[disk] = modelDisk{promised: 1, accepted: view, follows: 1}
	}
	state.disks[0].phase, state.disks[0].epoch, state.disks[0].making = primary, 1, view
	if limits.leases {
		for disk := 1; disk < limits.disks; disk++ {
			state.disks[disk].supports = 1
		}
		state.disks[0].supporters = all.without(0)
	}
	state.candidacies[0][1] = candidacy{active: true, aligning: true, base: view, view: view}
	state.led = 1
	return state
}

// modelStep is a state that may follow another, and how.
type modelStep = modelcheck.Step[modelState]

// model plays the protocol.
type model struct {
	rules  modelRules
	limits modelLimits
	named  bool // steps get names
}

// Start implements modelcheck.Model.
func (m *model) Start() modelState { return bootstrapped(m.limits) }

// Next implements modelcheck.Model.
func (m *model) Next(state *modelState, named bool) []modelStep {
	m.named = named
	var steps []modelStep
	add := func(next modelState, format string, args ...any) {
		if next == *state {
			return
		}
		step := modelStep{State: next}
		if m.named {
			step.Name = fmt.Sprintf(format, args...)
		}
		steps = append(steps, step)
	}
	for disk := range modelDisks {
		if state.disks[disk].lost || state.disks[disk].promised == 0 && !state.isSpare(disk) {
			continue
		}
		m.ownSteps(state, disk, add)
		m.faults(state, disk, add)
		for other := range modelDisks {
			if other != disk {
				m.calls(state, other, disk, add)
			}
		}
	}
	return steps
}

// isSpare tells whether a disk is one that was added: they are counted from the last one down.
func (s *modelState) isSpare(disk int) bool { return disk >= modelDisks-int(s.joined) }

type addStep func(next modelState, format string, args ...any)

// ownSteps are what a process does by itself.
func (m *model) ownSteps(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	m.campaign(state, disk, add)
	switch d.phase {
	case collecting:
		m.beginAligning(state, disk, add)
	case aligning:
		m.beginAccepting(state, disk, add)
	case accepting:
		m.enterView(state, disk, add)
	case primary:
		m.propose(state, disk, add)
		m.serveRead(state, disk, add)
	}
	if m.limits.leases {
		m.expireLeases(state, disk, add)
	}
}

// stand takes an epoch for a process: in an election, or as the primary for another view.
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

// replacesLost tells whether a change of members takes lost ones out and as many others in.
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

// propose logs a change at the primary.
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

// answerOperator begins and ends the answer to a question: a reading, or an order that is refused or was taken before.
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

// passTime ends what holds for a time only: that a primary counts on a member, and that a witness stands by a primary.
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

// standsByOther tells whether a witness stands by a primary other than a candidate.
func (m *model) supportsOther(witness *modelDisk, candidate int) bool {
	return m.limits.leases && !m.rules.ignoresLeases && witness.supports != 0 && int(witness.supports) != candidate+1
}

// holdsLease tells whether a primary may answer from its own state.
func (m *model) holdsLease(disk int, d *modelDisk) bool {
	return m.limits.leases && d.phase == primary && !d.leaseLapsed && m.rules.leaseValid(d.making, disk, d.supporters)
}

// acknowledge notes the changes that the primary may acknowledge, in the order of its log.
func (s *modelState) acknowledge(m *model, disk int) {
	d := &s.disks[disk]
	for index := s.acked.len(); index < d.log.len(); index++ {
		if d.phase != primary || !m.rules.committed(d.making, d.acks[index]) || !d.log.extends(s.acked) {
			return
		}
		s.acked = s.acked.append(d.log.at(index))
	}
}

// faults are crashes, lost disks and their replacement.
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

// mayLose tells whether a disk may be lost now. Where losses are borne one after the other, the next one comes when the
// newest view in force has no lost member, nor former ones.
func (m *model) mayLose(state *modelState, disk int) bool {
	if !m.limits.repaired {
		return !state.isSpare(disk)
	}
	for leader := range modelDisks {
		d := &state.disks[leader]
		if d.phase != primary || d.epoch != state.led || d.making.previous != 0 {
			continue
		}
		for _, member := range d.making.members.disks() {
			if state.disks[member].lost {
				return false
			}
		}
		return true
	}
	return state.losses == 0
}

// restart forgets what is in memory. A process that starts stands by the primary of the view that its disk has.
func (d *modelDisk) restart(leases bool) {
	*d = modelDisk{promised: d.promised, promisedTo: d.promisedTo, accepted: d.accepted, log: d.log}
	if leases && d.accepted.epoch > 0 {
		d.supports = d.accepted.primary + 1
	}
}

// calls are what one process does upon calls that another has made in any epoch.
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

// confirm handles a call that asks whether an epoch still holds.
func (m *model) confirm(state *modelState, from, to int, epoch uint8, add addStep) {
	sent := &state.candidacies[from][epoch]
	w := &state.disks[to]
	asks := &state.disks[from]
	if !asks.reading || asks.phase != primary || asks.epoch != epoch || !sent.view.inSync.has(to) {
		return
	}
	if !m.rules.allows(w, epoch, from) || !m.rules.mayAppend(w, epoch, from) {
		return
	}
	next := *state
	next.disks[from].confirmedBy = asks.confirmedBy.with(to)
	add(next, "%s confirms %d to %s", diskName(to), epoch, diskName(from))
}

// heartbeat handles a primary's sign of life, which may have been on its way for long.
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

// promise handles a call for a promise.
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

// promiseTo records a promise; a leadership or candidacy in a lower epoch ends.
func (d *modelDisk) promiseTo(epoch uint8, candidate int) {
	if d.phase != following && d.epoch < epoch {
		d.phase, d.making, d.respondents, d.granted, d.newest = following, modelView{}, 0, 0, modelView{}
		d.acks, d.learners = [maxChanges]diskSet{}, 0
		d.reading, d.ackedBeforeRead, d.confirmedBy = false, 0, 0
		d.supporters, d.leaseLapsed = 0, false
	}
	if int(d.supports) != candidate+1 && epoch > d.promised {
		d.supports = 0
	}
	d.promised, d.promisedTo = epoch, int8(candidate)
}

// attach makes a process follow another's log: where both logs end alike, or by a copy of the whole.
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

// accept handles a call to accept a view.
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

// appendEntry handles a call with an entry.
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

// Violation implements modelcheck.Model.
func (m *model) Violation(s *modelState) string {
	if s.staleRead {
		return "a question was answered without what had been acknowledged before it came"
	}
	for disk := range modelDisks {
		if m.holdsLease(disk, &s.disks[disk]) && !s.disks[disk].log.extends(s.acked) {
			return fmt.Sprintf("%s holds a lease without what was acknowledged", diskName(disk))
		}
	}
	return s.violation()
}

// violation says which invariant of the log and of leaders a state breaks.
func (s *modelState) violation() string {
	for disk := range modelDisks {
		d := &s.disks[disk]
		if d.phase != primary {
			continue
		}
		// The primary of a lower epoch acknowledges nothing any more.
		if !d.log.extends(s.acked) && d.epoch >= s.led {
			return fmt.Sprintf("%s leads in %d without what was acknowledged", diskName(disk), d.epoch)
		}
		for other := disk + 1; other < modelDisks; other++ {
			if o := &s.disks[other]; o.phase == primary && o.epoch == d.epoch {
				return fmt.Sprintf("two primaries in epoch %d", d.epoch)
			}
		}
	}
	if s.acked.len() > 0 && !slices.ContainsFunc(s.disks[:], func(d modelDisk) bool { return d.log.extends(s.acked) }) {
		return "what was acknowledged is nowhere"
	}
	return ""
}
