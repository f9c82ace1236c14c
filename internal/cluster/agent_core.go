package cluster

import (
	"hash/fnv"
	"slices"

	"go.uber.org/zap"
)

// Core returns the members of the control group as this process knows them: from the cluster table, else from the first
// source that knows them, else from the disk or a seed.
func (a *Agent) Core() []CoreMember {
	if table := a.table.Load(); table != nil && len(table.Core) > 0 {
		return table.Core
	}
	a.mutex.Lock()
	learned, sources := a.learnedCore, a.coreSources
	a.mutex.Unlock()
	for _, source := range sources {
		if core := source(); len(core) > 0 {
			return core
		}
	}
	return learned
}

// AddCoreSource adds a function that returns the members of the control group from another source, such as the disk of
// a process that is itself a member. Sources are used while there is no cluster table.
func (a *Agent) AddCoreSource(source func() []CoreMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.coreSources = append(a.coreSources, source)
}

// learnCore stores the members that a seed has named.
func (a *Agent) learnCore(core []CoreMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.learnedCore = core
}

// saveCoreInBackground saves the members of the control group on the disk if they have changed. It does so in a
// separate goroutine, so that a stalled disk does not block syncs.
func (a *Agent) saveCoreInBackground() {
	if a.options.Disk == nil || !a.coreSaveMutex.TryLock() {
		return
	}
	if !a.coreUnsaved() {
		a.coreSaveMutex.Unlock()
		return
	}
	go func() {
		saved := a.saveCore()
		a.coreSaveMutex.Unlock()
		if saved {
			a.saveCoreInBackground() // a change just before the unlock was skipped, because TryLock failed
		}
	}()
}

// saveCore saves the members, repeatedly if they change meanwhile, and reports whether the newest ones are saved. The
// caller holds coreSaveMutex.
func (a *Agent) saveCore() bool {
	for a.coreUnsaved() {
		core := a.table.Load().Core
		if err := saveCore(a.options.Disk, core); err != nil {
			a.logger.Warn("saving the members of the control group failed", zap.Error(err))
			return false
		}
		a.savedCore = core
	}
	return true
}

// coreUnsaved reports whether the members in the cluster table differ from the saved ones. The caller holds
// coreSaveMutex.
func (a *Agent) coreUnsaved() bool {
	table := a.table.Load()
	return table != nil && len(table.Core) > 0 && !slices.Equal(a.savedCore, table.Core)
}

// candidates returns the addresses of all known members of the control group in order of preference: the process
// itself, then the members in its zone, then the others. Members of equal rank are ordered by a hash of the process's
// name and the member's address, which spreads the processes over the members.
func (a *Agent) candidates() []string {
	info := a.options.Info()
	members := slices.Clone(a.Core())
	a.mutex.Lock()
	members = append(members, a.learnedCore...)
	a.mutex.Unlock()
	rank := func(member CoreMember) int {
		switch {
		case member.Address == info.Address:
			return 0
		case member.Zone != "" && member.Zone == info.Zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(members, func(left, right CoreMember) int {
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
