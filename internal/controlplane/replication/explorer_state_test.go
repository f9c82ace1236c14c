//go:build !race

package replication

import "strings"

// maxChanges bounds the entries of a log.
const maxChanges = 3

// maxEpochs bounds the epochs of a run.
const maxEpochs = 6

// modelView is a View with sets instead of lists.
type modelView struct {
	epoch    uint8
	primary  int8
	inSync   diskSet
	members  diskSet
	previous diskSet
}

func (v modelView) view() View {
	view := View{
		Epoch: uint64(v.epoch), Primary: diskName(int(v.primary)),
		Members: v.members.members(), Previous: v.previous.members(),
	}
	for _, disk := range v.inSync.disks() {
		view.InSync = append(view.InSync, diskName(disk))
	}
	return view
}

func (v modelView) allMembers() diskSet { return v.members.union(v.previous) }

// modelEntry is an entry of a log: the epoch in which it was appended, and the number of its change.
type modelEntry struct{ epoch, change uint8 }

// modelLog is a log. It is a string with two bytes for each entry, so that states are comparable.
type modelLog string

func (l modelLog) len() int                { return len(l) / 2 }
func (l modelLog) at(index int) modelEntry { return modelEntry{l[2*index], l[2*index+1]} }

func (l modelLog) append(added modelEntry) modelLog {
	return l + modelLog([]byte{added.epoch, added.change})
}

func (l modelLog) prefix(length int) modelLog  { return l[:2*length] }
func (l modelLog) extends(other modelLog) bool { return strings.HasPrefix(string(l), string(other)) }

// last returns the position of the end.
func (l modelLog) last() position {
	if l.len() == 0 {
		return position{}
	}
	return position{Epoch: uint64(l.at(l.len() - 1).epoch), Index: uint64(l.len())}
}

// modelDisk is the state on a disk and in the memory of its process.
type modelDisk struct {
	promised   uint8
	promisedTo int8
	accepted   modelView
	log        modelLog
	lost       bool

	follows     uint8 // the epoch whose primary's log this process follows; 0 after a restart
	phase       modelPhase
	epoch       uint8 // the epoch in which the process is a candidate or the primary
	granted     diskSet
	newest      modelView // the newest view that the promises have reported
	ownView     modelView // the view that the process makes as a candidate or leads
	respondents diskSet   // disks that have been aligned, then disks that have accepted
	acks        [maxChanges]diskSet
	learners    diskSet // processes that have the log and may become members

	reading         bool    // an operator's read is in progress here
	ackedBeforeRead uint8   // number of acknowledged changes when the read began
	confirmedBy     diskSet // the disks that have confirmed this primary since the read began

	supports    int8    // the number of the primary that this witness supports, plus 1; 0 if there is none
	supporters  diskSet // the disks whose support this primary counts towards its lease
	leaseLapsed bool    // the lease has expired in this view
}

// restart clears the memory of the process. After a restart, the process supports the primary of the view on its disk.
func (d *modelDisk) restart(leases bool) {
	*d = modelDisk{promised: d.promised, promisedTo: d.promisedTo, accepted: d.accepted, log: d.log}
	if leases && d.accepted.epoch > 0 {
		d.supports = d.accepted.primary + 1
	}
}

// promiseTo records a promise. It ends a leadership or a candidacy in a lower epoch.
func (d *modelDisk) promiseTo(epoch uint8, candidate int) {
	if d.phase != following && d.epoch < epoch {
		d.phase, d.ownView, d.respondents, d.granted, d.newest = following, modelView{}, 0, 0, modelView{}
		d.acks, d.learners = [maxChanges]diskSet{}, 0
		d.reading, d.ackedBeforeRead, d.confirmedBy = false, 0, 0
		d.supporters, d.leaseLapsed = 0, false
	}
	if int(d.supports) != candidate+1 && epoch > d.promised {
		d.supports = 0
	}
	d.promised, d.promisedTo = epoch, int8(candidate)
}

// modelPhase is the progress of a process in a view change.
type modelPhase uint8

const (
	following modelPhase = iota
	collecting
	aligning
	accepting
	primary
)

// candidacy holds what a process has sent in an epoch. Its calls may still be handled.
type candidacy struct {
	active   bool
	aligning bool // a majority has promised, so attach calls have been sent
	base     modelView
	log      modelLog // at the beginning of the epoch
	extended modelLog // log with the changes proposed since then
	view     modelView
}

// modelState is a state of the whole group.
type modelState struct {
	disks           [modelDisks]modelDisk
	candidacies     [modelDisks][maxEpochs + 1]candidacy
	acked           modelLog // the acknowledged changes, in order
	crashes         uint8
	losses          uint8
	addedDisks      uint8 // disks added after the bootstrap
	proposed        uint8
	highestLedEpoch uint8 // the highest epoch in which a process has led
	reads           uint8
	changes         uint8 // of the membership
	staleRead       bool  // a read was served by a process that lacked changes acknowledged before the read began
}

// isSpare reports whether a disk was added after the bootstrap. Added disks take the numbers from the highest one down.
func (s *modelState) isSpare(disk int) bool { return disk >= modelDisks-int(s.addedDisks) }

// acknowledge acknowledges the changes that a primary may acknowledge, in the order of its log.
func (s *modelState) acknowledge(m *model, disk int) {
	d := &s.disks[disk]
	for index := s.acked.len(); index < d.log.len(); index++ {
		if d.phase != primary || !m.rules.committed(d.ownView, d.acks[index]) || !d.log.extends(s.acked) {
			return
		}
		s.acked = s.acked.append(d.log.at(index))
	}
}

// bootstrapped returns the state after the bootstrap: the first disk leads all others.
func bootstrapped(limits modelLimits) modelState {
	var state modelState
	all := firstDisks(limits.disks)
	view := modelView{epoch: 1, inSync: all, members: all}
	for disk := range limits.disks {
		state.disks[disk] = modelDisk{promised: 1, accepted: view, follows: 1}
	}
	state.disks[0].phase, state.disks[0].epoch, state.disks[0].ownView = primary, 1, view
	if limits.leases {
		for disk := 1; disk < limits.disks; disk++ {
			state.disks[disk].supports = 1
		}
		state.disks[0].supporters = all.without(0)
	}
	state.candidacies[0][1] = candidacy{active: true, aligning: true, base: view, view: view}
	state.highestLedEpoch = 1
	return state
}
