package cluster

import (
	"hash/fnv"
	"slices"

	"go.uber.org/zap"
)

// Core returns the members of the control group as this process knows them.
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

// AddCoreSource adds a function that returns the members of the control group which this process knows otherwise,
// such as a member by its own disk. Sources are used while there is no cluster table.
func (a *Agent) AddCoreSource(source func() []CoreMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.coreSources = append(a.coreSources, source)
}

// learnCore remembers the members that a seed has named.
func (a *Agent) learnCore(core []CoreMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.learnedCore = core
}

// saveCoreInBackground saves the members of the control group on the disk where they have changed. It does so in a
// goroutine of its own, so that a stalled disk stops nothing else.
func (a *Agent) saveCoreInBackground() {
	if a.options.Disk == nil || !a.coreSaving.TryLock() {
		return
	}
	if !a.coreUnsaved() {
		a.coreSaving.Unlock()
		return
	}
	go func() {
		saved := a.saveCore()
		a.coreSaving.Unlock()
		if saved {
			a.saveCoreInBackground() // a list that came just before the unlock found the lock taken
		}
	}()
}

// saveCore saves the members until the newest list is saved, and tells whether that succeeded. The caller holds coreSaving.
func (a *Agent) saveCore() bool {
	for a.coreUnsaved() {
		core := a.table.Load().Core
		if err := saveCore(a.options.Disk, core); err != nil {
			a.logger.Warn("members of the control group not saved", zap.Error(err))
			return false
		}
		a.savedCore = core
	}
	return true
}

// coreUnsaved reports whether the members differ from those that were saved. The caller holds coreSaving.
func (a *Agent) coreUnsaved() bool {
	table := a.table.Load()
	return table != nil && len(table.Core) > 0 && !slices.Equal(a.savedCore, table.Core)
}

// candidates returns the addresses of all members that may serve a sync, the preferred one first: the process
// itself, then the members in its own zone, then the others. The processes of a zone are spread over its members by
// a hash of their names.
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

// memberHash returns a hash by which processes prefer different members.
func memberHash(node, address string) uint16 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	sum := hash.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}
