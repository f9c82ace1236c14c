package messagestore

import (
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/cluster"
)

// gate tells whether deliveries of a partition may start. The delivery engine looks at it without the store's lock.
type gate struct {
	open      atomic.Bool
	backups   atomic.Pointer[[]*peer]
	notBefore atomic.Pointer[time.Time] // a former primary may deliver until then; nil where none may

	mutex  sync.Mutex
	grants map[string]time.Time // by disk: when a backup was asked for the last lease that it granted for this partition
}

// noteGrant records that a backup has granted a lease of the partition.
func (g *gate) noteGrant(disk string, asked time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.grants == nil {
		g.grants = make(map[string]time.Time)
	}
	g.grants[disk] = asked
}

// grantedAt returns when a backup was asked for the last lease that it granted, or the zero time.
func (g *gate) grantedAt(disk string) time.Time {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.grants[disk]
}

// MayDeliver implements the delivery engine's owner: deliveries start only while no other store can have become
// primary, and once no former primary may deliver any more.
func (s *Store) MayDeliver(id int) bool {
	found, exists := s.gates.Load(id)
	if !exists {
		return false
	}
	state := found.(*gate)
	if notBefore := state.notBefore.Load(); notBefore != nil && time.Now().Before(*notBefore) {
		return false
	}
	return state.open.Load() && s.surelyLeads(state)
}

// surelyLeads tells whether no other store can have become a partition's primary: the lease runs, or every backup has
// lately granted a lease under this epoch.
func (s *Store) surelyLeads(state *gate) bool {
	return s.options.Control.LeaseRemaining() > 0 || state.backupsGrant()
}

// backupsGrant tells whether all backups have lately granted a lease: none of them delivers for as long.
func (g *gate) backupsGrant() bool {
	backups := g.backups.Load()
	if backups == nil || len(*backups) == 0 {
		return false
	}
	for _, backup := range *backups {
		asked := g.grantedAt(backup.replica.DiskID)
		ended := backup.ended.Load()
		if time.Since(asked) >= backupLease || ended != nil && asked.Before(*ended) {
			return false
		}
	}
	return true
}

// gate returns a partition's gate, made where there is none.
func (s *Store) gate(id int) *gate {
	found, _ := s.gates.LoadOrStore(id, &gate{})
	return found.(*gate)
}

// setGate brings a partition's gate up to the store's role in it. The caller holds the lock.
func (s *Store) setGate(p *partition) {
	state := s.gate(p.id)
	var backups []*peer
	if p.leading {
		for _, replica := range p.backups() {
			backups = append(backups, s.peer(replica))
		}
	}
	state.backups.Store(&backups)
	state.open.Store(p.leading && !p.paused && !p.fenced)
}

// leadsForSure tells whether this store is a partition's primary and no other store can be. The caller holds the lock.
func (s *Store) leadsForSure(p *partition) bool {
	if !p.leading || p.fenced {
		return false
	}
	return s.surelyLeads(s.gate(p.id))
}

// waitForFormer keeps deliveries of a partition back for as long as a former primary may count on a lease from this store. The
// caller holds the lock.
func (s *Store) waitForFormer(p *partition, former cluster.Partition) {
	var until time.Time
	for _, replica := range former.Replicas {
		if grant := s.grants[replica.Store]; grant.After(until) {
			until = grant
		}
	}
	s.gate(p.id).notBefore.Store(&until)
}
