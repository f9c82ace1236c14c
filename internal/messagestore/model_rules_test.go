//go:build !race

package messagestore

// modelRules are the rules of stores and the control plane. Each mutation breaks one of them.
type modelRules struct {
	// mayPromote reports whether the former primary's lease has certainly ended.
	mayPromote func(former *modelStore) bool
	// onLeaseRenewal has the effects on a store when its lease is renewed.
	onLeaseRenewal func(s *modelState, store int)
	// isTarget reports whether a replica accepts a primary's call as meant for its disk.
	isTarget func(view *partitionView, s *modelState, to int) bool
	// grantOnRejection counts a rejection as a lease.
	grantOnRejection bool
	// ignoresGrants lets a new primary deliver before the granted leases have ended.
	ignoresGrants bool
	// lossWhileReplacing allows the loss of a disk as soon as an unresponsive backup was replaced.
	lossWhileReplacing bool
	// retainsReplicas has a recovery also ask the replicas that were dropped since the group was last complete.
	retainsReplicas bool
	// skipsCollection lets the new primary of a recovery ask no other replica.
	skipsCollection bool
	// recoversWithTooFew begins a recovery without replicas that may have messages which no other replica has.
	recoversWithTooFew bool
	// omitsCollectedGrants leaves the new primary of a recovery unaware of the grants that other replicas know of.
	omitsCollectedGrants bool
	// dropsRespondingBackup replaces a synced backup that responds before another one is synced.
	dropsRespondingBackup bool
	// keepsStaleConfirmations counts a backup's confirmations even if it left and rejoined the group since.
	keepsStaleConfirmations bool
	// forgetsGrants lets a process that starts again deliver although a lease of before its start may be valid.
	forgetsGrants bool
	// omitsGrants leaves backups unaware of the grants that their primary waits for.
	omitsGrants bool
	// maySync reports whether a backup may be marked as synced.
	maySync func(stored, knownStored messageSet) bool
	// committed reports whether a message is committed by the backups that have confirmed it.
	committed func(view *partitionView, acks storeSet) bool
	// mayComplete reports whether a store that is being decommissioned may be removed.
	mayComplete func(s *modelState, store int) bool
	// resumesOnUnknownOutcome resumes deliveries after a handover whose outcome is unknown.
	resumesOnUnknownOutcome bool
}

// modelLimits limits the events in a sequence of steps and the size of the system.
type modelLimits struct {
	stores     int
	replicas   int
	messages   int
	views      int
	losses     uint8
	crashes    uint8
	retirement bool
	handovers  bool // planned handovers
	renewals   bool // requests of fenced primaries for a new epoch

	// earlyLosses allows the loss of a disk as soon as all replicas of the newest view are synced, even if former
	// primaries have not heard of that view. That is more than the service has to tolerate.
	earlyLosses bool
	// overlappingLosses allows the loss of a disk at any time, also while other replicas are partitioned or being
	// replaced.
	overlappingLosses bool
}

// storeRules returns the rules without any mutation.
func storeRules(limits modelLimits) modelRules {
	return modelRules{
		retainsReplicas: limits.overlappingLosses,
		mayPromote:      func(former *modelStore) bool { return !former.hasLease },
		onLeaseRenewal:  func(s *modelState, store int) { s.apply(store, s.count) },
		isTarget:        func(view *partitionView, s *modelState, to int) bool { return s.isAvailable(view, to) },
		maySync:         func(stored, knownStored messageSet) bool { return knownStored.contains(stored) },
		committed: func(view *partitionView, acks storeSet) bool {
			return acks.contains(view.backups) && view.replicas().count() >= limits.replicas
		},
		mayComplete: func(s *modelState, store int) bool {
			return !s.current().replicas().has(store) && s.syncedAvailable().without(store).count() >= limits.replicas
		},
	}
}
