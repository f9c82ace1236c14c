package messagestore

import "time"

const (
	// restartGap is left in the numbering after a restart, for records that were lost with their power.
	restartGap = 1 << 16
	// epochShift places the epoch above the counter in a sequence number.
	epochShift = 32

	backupLease       = time.Second            // for how long a backup grants a lease
	askGrantsBefore   = 300 * time.Millisecond // before the end of its lease a primary begins to ask its backups for one
	backupSilence     = 150 * time.Millisecond
	outcomeTimeout    = time.Second
	replicateTimeout  = 300 * time.Millisecond // after it another backup is asked for: writes wait, clients leave soon
	inventoryTimeout  = time.Second
	askTimeout        = time.Second
	dropSettle        = 50 * time.Millisecond // before a backup that refuses is dropped: others may have died with it
	resyncTimeout     = 5 * time.Second
	resyncPause       = 200 * time.Millisecond
	resyncPatience    = 600 * time.Millisecond
	maintainInterval  = 200 * time.Millisecond
	forgetInterval    = 5 * time.Second
	heartbeatInterval = 300 * time.Millisecond
	reportInterval    = 200 * time.Millisecond
	handoverPoll      = 10 * time.Millisecond
	unclearPause      = 100 * time.Millisecond // between two asks for a handover whose outcome is not known
	handoverDoubt     = 4 * time.Second        // after it an ask whose outcome was not known is surely not carried out any more
	wishPatience      = 2 * time.Second

	batchBytes = 256 << 10 // records in one call to a backup, about

	leastSegmentBytes = 1 << 20
	mostSegmentBytes  = 8 << 20
	segmentsOnDisk    = 24 // of the disk's size, at least
	compactAbove      = 3  // the log may take one part in so many of the disk before it is compacted
	compactionPart    = 2  // of all segments, one in so many is emptied at a time
	fullAbove         = 9  // the log takes no message when it fills so many parts
	fullOf            = 10 // of so many
)

// segmentBytes returns the size of a segment for a disk.
func segmentBytes(disk int64) int64 {
	if disk <= 0 {
		return mostSegmentBytes
	}
	return min(max(disk/segmentsOnDisk, leastSegmentBytes), mostSegmentBytes)
}
