//go:build !race

package messagestore

// modelRules are the rules that mutations change.
type modelRules struct {
	mayPromote     func(former *modelStore) bool  // its lease is surely over
	renews         func(s *modelState, store int) // what comes with a lease
	isTarget       func(view *partitionView, s *modelState, to int) bool
	grantOnRefusal bool                              // a refusal counts as a grant
	deliversAtOnce bool                              // a successor does not wait for the end of grants
	dropsUnnoticed bool                              // a disk may be lost as soon as a living backup was dropped
	keepsAcks      bool                              // confirmations count also where the backup was away meanwhile
	keepsGrants    bool                              // a primary does not tell its backups of the grants that it waits for
	maySync        func(held, noted messageSet) bool // a backup may be called synced
	committed      func(view *partitionView, acks storeSet) bool
	mayComplete    func(s *modelState, store int) bool // a store is empty and may be taken away
	resumesBlindly bool                                // deliveries go on after a handover without a clear answer
}

// modelLimits bound what may happen in a play.
type modelLimits struct {
	stores    int
	replicas  int
	messages  int
	views     int
	losses    uint8
	crashes   uint8
	retires   bool
	handovers bool // handovers on purpose

	// losesEarly has disks be lost as soon as the newest view is whole, whatever former primaries still believe. That is
	// more than must be borne.
	losesEarly bool
}

func storeRules(limits modelLimits) modelRules {
	return modelRules{
		mayPromote: func(former *modelStore) bool { return !former.leased },
		renews:     func(s *modelState, store int) { s.apply(store, s.count) },
		isTarget:   func(view *partitionView, s *modelState, to int) bool { return s.alive(view, to) },
		maySync:    func(held, noted messageSet) bool { return noted.contains(held) },
		committed: func(view *partitionView, acks storeSet) bool {
			return acks.contains(view.backups) && view.replicas().count() >= limits.replicas
		},
		mayComplete: func(s *modelState, store int) bool {
			return !s.current().replicas().has(store) && s.syncedAlive().without(store).count() >= limits.replicas
		},
	}
}
