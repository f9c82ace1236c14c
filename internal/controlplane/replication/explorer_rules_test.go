//go:build !race

package replication

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
