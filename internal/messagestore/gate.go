package messagestore

import (
	"sync/atomic"
	"time"
)

// gate tells whether deliveries of a partition may start. The delivery engine looks at it without the store's lock.
type gate struct {
	open    atomic.Bool
	backups atomic.Pointer[[]*peer]
}

// MayDeliver implements the delivery engine's owner: deliveries start only while no other store can have become
// primary, because the lease runs or because every backup has lately answered under this epoch.
func (s *Store) MayDeliver(id int) bool {
	found, exists := s.gates.Load(id)
	if !exists {
		return false
	}
	state := found.(*gate)
	return state.open.Load() && (s.options.Control.LeaseValid() || state.backupsAnswer())
}

// backupsAnswer tells whether all backups have answered lately.
func (g *gate) backupsAnswer() bool {
	backups := g.backups.Load()
	if backups == nil || len(*backups) == 0 {
		return false
	}
	for _, backup := range *backups {
		answered := backup.answered.Load()
		if answered == nil || time.Since(*answered) > backupLease {
			return false
		}
	}
	return true
}

// setGate brings a partition's gate up to the store's role in it. The caller holds the lock.
func (s *Store) setGate(p *partition) {
	found, _ := s.gates.LoadOrStore(p.id, &gate{})
	state := found.(*gate)
	var backups []*peer
	if p.leading {
		for _, replica := range p.backups() {
			backups = append(backups, s.peer(replica))
		}
	}
	state.backups.Store(&backups)
	state.open.Store(p.leading && !p.paused)
}
