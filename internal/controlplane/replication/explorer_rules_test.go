//go:build !race

package replication

// modelRules are the protocol's rules that a mutation may replace by a broken one.
type modelRules struct {
	quorum       func(view modelView, has diskSet) bool
	allows       func(disk *modelDisk, epoch uint8, candidate int) bool
	mayAppend    func(disk *modelDisk, epoch uint8, from int) bool
	maySucceed   func(newest modelView, candidate int) bool
	committed    func(view modelView, acks diskSet) bool
	restart      func(disk *modelDisk)
	vote         func(disk *modelDisk, voter int, base modelView) bool
	wipedReturns bool // a wiped disk returns under its old id

	mayServeRead       func(view modelView, confirmedBy diskSet) bool          // an operator's read
	mayChangeMembers   func(newest modelView) bool                             // another change of the members
	inSync             func(view modelView, aligned diskSet) diskSet           // the in-sync set of a new view
	snapshotOf         func(log modelLog) modelLog                             // what a snapshot holds
	leaseValid         func(view modelView, self int, supporters diskSet) bool // whether the supporters suffice for a lease
	leavesPrimaryEarly bool                                                    // a witness may stop supporting a primary that counts on it
	ignoresLeases      bool                                                    // processes vote and campaign while they support a primary
}

// groupRules returns the group's own rules. Quorums are computed by the group's code and cached.
func groupRules() modelRules {
	type quorumQuery struct{ members, previous, has diskSet }
	cached := map[quorumQuery]bool{}
	return modelRules{
		quorum: func(view modelView, has diskSet) bool {
			query := quorumQuery{view.members, view.previous, has}
			reached, known := cached[query]
			if !known {
				reached = view.view().hasQuorum(has.isMember)
				cached[query] = reached
			}
			return reached
		},
		allows: func(disk *modelDisk, epoch uint8, candidate int) bool {
			record := witnessRecord{Promised: uint64(disk.promised), PromisedTo: diskName(int(disk.promisedTo))}
			return record.allows(uint64(epoch), diskName(candidate))
		},
		mayAppend:        func(disk *modelDisk, epoch uint8, _ int) bool { return disk.follows == epoch },
		maySucceed:       func(newest modelView, candidate int) bool { return newest.inSync.has(candidate) },
		committed:        func(view modelView, acks diskSet) bool { return acks.contains(view.inSync) },
		mayServeRead:     func(view modelView, confirmedBy diskSet) bool { return confirmedBy.contains(view.inSync) },
		mayChangeMembers: func(newest modelView) bool { return newest.previous == 0 },
		inSync:           func(view modelView, aligned diskSet) diskSet { return aligned & view.members },
		snapshotOf:       func(log modelLog) modelLog { return log },
		leaseValid: func(view modelView, self int, supporters diskSet) bool {
			supporters = supporters.with(self)
			return supporters.contains(view.inSync) && view.view().hasQuorum(supporters.isMember)
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

// modelLimits bound what happens in a run of the model.
type modelLimits struct {
	disks             int // members at the bootstrap
	replicationFactor int
	epochs            uint8
	changes           uint8
	crashes           uint8
	losses            uint8
	joins             uint8 // disks that are added, as replacements of lost ones or beside the others
	candidates        int   // how many of the first disks campaign; 0 for all

	reads         uint8 // reads by operators
	leases        bool  // witnesses support primaries that they have heard from
	memberChanges uint8 // additions and removals of members that are not lost
	repaired      bool  // a disk is lost only while the group has none to replace
}
