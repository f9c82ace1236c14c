package messagestore

import "time"

const (
	// restartGap is left in the numbering after a restart, for records that were lost with their power.
	restartGap = 1 << 16
	// epochShift places the epoch above the counter in a sequence number.
	epochShift = 32

	backupLease             = time.Second            // for how long a backup grants a lease
	backupLeaseMargin       = 300 * time.Millisecond // before the end of its lease a primary begins to ask its backups for one
	unresponsiveAfter       = 150 * time.Millisecond
	outcomeTimeout          = time.Second
	replicateTimeout        = 300 * time.Millisecond // after it another backup is asked for: writes wait, clients leave soon
	inventoryTimeout        = time.Second
	controlTimeout          = time.Second
	replacementDelay        = 50 * time.Millisecond // before a backup that refuses is dropped: others may have died with it
	resyncTimeout           = 5 * time.Second
	resyncRetryInterval     = 200 * time.Millisecond
	resyncGracePeriod       = 600 * time.Millisecond
	maintainInterval        = 200 * time.Millisecond
	expiryInterval          = 5 * time.Second
	heartbeatInterval       = 300 * time.Millisecond
	reportInterval          = 200 * time.Millisecond
	handoverPollInterval    = 10 * time.Millisecond
	unknownOutcomeInterval  = 100 * time.Millisecond // between two asks for a handover whose outcome is not known
	unknownOutcomeTimeout   = 4 * time.Second        // after it an ask whose outcome was not known is surely not carried out any more
	preferredPrimaryTimeout = 2 * time.Second

	batchBytes = 256 << 10 // records in one call to a backup, about

	minSegmentBytes     = 1 << 20
	maxSegmentBytes     = 8 << 20
	minSegmentsOnDisk   = 24 // of the disk's size, at least
	compactionThreshold = 3  // the log may take one part in so many of the disk before it is compacted
	compactionShare     = 2  // of all segments, one in so many is emptied at a time
	fullNumerator       = 9  // the log takes no message when it fills so many parts
	fullDenominator     = 10 // of so many
)

// segmentBytes returns the size of a segment for a disk.
func segmentBytes(disk int64) int64 {
	if disk <= 0 {
		return maxSegmentBytes
	}
	return min(max(disk/minSegmentsOnDisk, minSegmentBytes), maxSegmentBytes)
}
