package cluster

import (
	"hash/fnv"
	"slices"

	"go.uber.org/zap"
)

// ControlGroup returns the members of the control group as this process knows them: from the cluster table,
// otherwise from the first source that knows them, otherwise from the disk or a seed.
func (a *Agent) ControlGroup() []ControlMember {
	if table := a.table.Load(); table != nil && len(table.ControlGroup) > 0 {
		return table.ControlGroup
	}
	a.mutex.Lock()
	learned, sources := a.learnedMembers, a.memberSources
	a.mutex.Unlock()
	for _, source := range sources {
		if members := source(); len(members) > 0 {
			return members
		}
	}
	return learned
}

// AddControlGroupSource adds a function that returns the members of the control group from another source, such as the
// disk of a process that is itself a member. Sources are used while there is no cluster table.
func (a *Agent) AddControlGroupSource(source func() []ControlMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.memberSources = append(a.memberSources, source)
}

// learnMembers stores the members that a seed has named.
func (a *Agent) learnMembers(members []ControlMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.learnedMembers = members
}

// saveMembersInBackground saves the members of the control group on the disk if they have changed. It does so in a
// separate goroutine, so that a stalled disk does not block syncs.
func (a *Agent) saveMembersInBackground() {
	if a.options.Disk == nil || !a.memberSaveMutex.TryLock() {
		return
	}
	if !a.membersUnsaved() {
		a.memberSaveMutex.Unlock()
		return
	}
	go func() {
		saved := a.saveMembers()
		a.memberSaveMutex.Unlock()
		if saved {
			a.saveMembersInBackground() // a change just before the unlock was skipped, because TryLock failed
		}
	}()
}

// saveMembers saves the members, repeatedly if they change meanwhile, and reports whether the newest ones are saved.
// The caller holds memberSaveMutex.
func (a *Agent) saveMembers() bool {
	for a.membersUnsaved() {
		members := a.table.Load().ControlGroup
		if err := saveMembers(a.options.Disk, members); err != nil {
			a.logger.Warn("saving the members of the control group failed", zap.Error(err))
			return false
		}
		a.savedMembers = members
	}
	return true
}

// membersUnsaved reports whether the members in the cluster table differ from the saved ones. The caller holds
// memberSaveMutex.
func (a *Agent) membersUnsaved() bool {
	table := a.table.Load()
	return table != nil && len(table.ControlGroup) > 0 && !slices.Equal(a.savedMembers, table.ControlGroup)
}

// candidates returns the addresses of all known members of the control group in order of preference: the process
// itself, then the members in its zone, then the others. Members of equal rank are ordered by a hash of the process's
// name and the member's address, which spreads the processes over the members.
func (a *Agent) candidates() []string {
	info := a.options.Info()
	members := slices.Clone(a.ControlGroup())
	a.mutex.Lock()
	members = append(members, a.learnedMembers...)
	a.mutex.Unlock()
	rank := func(member ControlMember) int {
		switch {
		case member.Address == info.Address:
			return 0
		case member.Zone != "" && member.Zone == info.Zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(members, func(left, right ControlMember) int {
		if difference := rank(left) - rank(right); difference != 0 {
			return difference
		}
		return int(memberHash(info.Name, left.Address)) - int(memberHash(info.Name, right.Address))
	})
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		if !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// memberHash returns a hash of a process's name and a member's address, by which different processes prefer different
// members.
func memberHash(node, address string) uint16 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	sum := hash.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}
