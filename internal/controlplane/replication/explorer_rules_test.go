//go:build !race

package replication

// modelRules are the rules of the protocol. A mutation replaces one of them with a broken one.
type modelRules struct {
	quorum       func(view modelView, has diskSet) bool
	allows       func(disk *modelDisk, epoch uint8, candidate int) bool
	mayAppend    func(disk *modelDisk, epoch uint8, from int) bool
	mayLead      func(newest modelView, candidate int) bool
	committed    func(view modelView, acks diskSet) bool
	restart      func(disk *modelDisk)
	vote         func(disk *modelDisk, voter int, base modelView) bool
	wipedReturns bool // a wiped disk returns under its old id

	mayServeRead      func(view modelView, confirmedBy diskSet) bool          // whether an operator's read may be served
	mayChangeMembers  func(newest modelView) bool                             // whether the members may change again
	inSync            func(view modelView, aligned diskSet) diskSet           // the in-sync set of a new view
	snapshotOf        func(log modelLog) modelLog                             // the log that a snapshot holds
	leaseValid        func(view modelView, self int, supporters diskSet) bool // whether supporters suffice
	dropsSupportEarly bool                                                    // a witness may drop a primary that counts it
	ignoresLeases     bool                                                    // supporters of a primary vote and campaign
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
				reached = view.view().hasQuorum(has.hasName)
				cached[query] = reached
			}
			return reached
		},
		allows: func(disk *modelDisk, epoch uint8, candidate int) bool {
			record := witnessRecord{Promised: uint64(disk.promised), PromisedTo: diskName(int(disk.promisedTo))}
			return record.allows(uint64(epoch), diskName(candidate))
		},
		mayAppend:        func(disk *modelDisk, epoch uint8, _ int) bool { return disk.follows == epoch },
		mayLead:          func(newest modelView, candidate int) bool { return newest.inSync.has(candidate) },
		committed:        func(view modelView, acks diskSet) bool { return acks.contains(view.inSync) },
		mayServeRead:     func(view modelView, confirmedBy diskSet) bool { return confirmedBy.contains(view.inSync) },
		mayChangeMembers: func(newest modelView) bool { return newest.previous == 0 },
		inSync:           func(view modelView, aligned diskSet) diskSet { return aligned & view.members },
		snapshotOf:       func(log modelLog) modelLog { return log },
		leaseValid: func(view modelView, self int, supporters diskSet) bool {
			supporters = supporters.with(self)
			return supporters.contains(view.inSync) && view.view().hasQuorum(supporters.hasName)
		},
		restart: func(*modelDisk) {},
		vote: func(disk *modelDisk, voter int, base modelView) bool {
			view := disk.accepted
			if base.epoch > view.epoch {
				view = base
			}
			return view.allMembers().has(voter)
		},
	}
}

// modelLimits bound the runs of the model.
type modelLimits struct {
	disks             int // members at the bootstrap
	replicationFactor int
	epochs            uint8
	changes           uint8
	crashes           uint8
	losses            uint8
	joins             uint8 // disks that are added, as replacements of lost ones or as further members
	candidates        int   // number of the first disks that campaign; 0 means all

	reads          uint8 // reads by operators
	leases         bool  // witnesses support primaries that they have heard from
	memberChanges  uint8 // additions and removals of members that are not lost
	oneLossAtATime bool  // a disk is lost only after the previous loss is repaired
}
