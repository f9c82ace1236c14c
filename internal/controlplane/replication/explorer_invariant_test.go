//go:build !race

package replication

import (
	"fmt"
	"slices"
)

// Violation implements modelcheck.Model.
func (m *model) Violation(s *modelState) string {
	if s.staleRead {
		return "a read was served without changes that had been acknowledged before it began"
	}
	for disk := range modelDisks {
		if m.holdsLease(disk, &s.disks[disk]) && !s.disks[disk].log.extends(s.acked) {
			return fmt.Sprintf("%s holds a lease but lacks acknowledged changes", diskName(disk))
		}
	}
	return s.violation()
}

// violation returns the invariant of the log or of primaries that a state breaks, or "" if there is none.
func (s *modelState) violation() string {
	for disk := range modelDisks {
		d := &s.disks[disk]
		if d.phase != primary {
			continue
		}
		// The primary of a lower epoch can no longer acknowledge changes.
		if !d.log.extends(s.acked) && d.epoch >= s.highestLedEpoch {
			return fmt.Sprintf("%s leads in epoch %d but lacks acknowledged changes", diskName(disk), d.epoch)
		}
		for other := disk + 1; other < modelDisks; other++ {
			if o := &s.disks[other]; o.phase == primary && o.epoch == d.epoch {
				return fmt.Sprintf("two primaries in epoch %d", d.epoch)
			}
		}
	}
	if s.acked.len() > 0 && !slices.ContainsFunc(s.disks[:], func(d modelDisk) bool { return d.log.extends(s.acked) }) {
		return "no disk has all acknowledged changes"
	}
	return ""
}
