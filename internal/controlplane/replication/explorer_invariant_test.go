//go:build !race

package replication

import (
	"fmt"
	"slices"
)

// Violation implements modelcheck.Model.
func (m *model) Violation(s *modelState) string {
	if s.staleRead {
		return "a question was answered without what had been acknowledged before it came"
	}
	for disk := range modelDisks {
		if m.holdsLease(disk, &s.disks[disk]) && !s.disks[disk].log.extends(s.acked) {
			return fmt.Sprintf("%s holds a lease without what was acknowledged", diskName(disk))
		}
	}
	return s.violation()
}

// violation returns which invariant of the log or of primaries a state breaks; "" for none.
func (s *modelState) violation() string {
	for disk := range modelDisks {
		d := &s.disks[disk]
		if d.phase != primary {
			continue
		}
		// The primary of a lower epoch acknowledges nothing any more.
		if !d.log.extends(s.acked) && d.epoch >= s.led {
			return fmt.Sprintf("%s leads in %d without what was acknowledged", diskName(disk), d.epoch)
		}
		for other := disk + 1; other < modelDisks; other++ {
			if o := &s.disks[other]; o.phase == primary && o.epoch == d.epoch {
				return fmt.Sprintf("two primaries in epoch %d", d.epoch)
			}
		}
	}
	if s.acked.len() > 0 && !slices.ContainsFunc(s.disks[:], func(d modelDisk) bool { return d.log.extends(s.acked) }) {
		return "what was acknowledged is nowhere"
	}
	return ""
}
