package messagestore

import "time"

// Sequence numbers have the epoch in the upper half and a counter below.
const (
	epochShift = 32
	// restartGap is added to each partition's counter at a start, so that sequence numbers of records lost in a crash are
	// not assigned again.
	restartGap = 1 << 16
)

// Leases of backups.
const (
	backupLease       = time.Second            // for how long a backup grants one
	backupLeaseMargin = 300 * time.Millisecond // before the end of its lease from the control plane a primary begins to request them
	heartbeatInterval = 300 * time.Millisecond // between two requests
)

// Calls to other processes.
const (
	replicateTimeout  = 300 * time.Millisecond // of one call; after it the control plane is asked to replace the backup, since writes wait for it
	inventoryTimeout  = time.Second
	outcomeTimeout    = time.Second
	controlTimeout    = time.Second
	unresponsiveAfter = 150 * time.Millisecond // a call that is out for longer has new messages go to other partitions
	reportInterval    = 200 * time.Millisecond // between two reports of a store

	batchBytes = 256 << 10 // records in one call to a backup, about
)

// Resync and replacement of backups.
const (
	resyncTimeout       = 5 * time.Second
	resyncRetryInterval = 200 * time.Millisecond
	resyncGracePeriod   = 600 * time.Millisecond // a backup whose resync fails for longer is replaced
	replacementDelay    = 50 * time.Millisecond  // before a failing backup is replaced, so that further stores that failed with it are known by then
)

// Handovers.
const (
	handoverPollInterval    = 10 * time.Millisecond  // between two looks for attempts that are out
	preferredPrimaryTimeout = 2 * time.Second        // after it deliveries are taken up again
	unknownOutcomeInterval  = 100 * time.Millisecond // between two requests while an outcome is unknown
	unknownOutcomeTimeout   = 4 * time.Second        // after this time the control plane can no longer execute a request whose outcome is unknown
)

// Maintenance.
const (
	maintainInterval = 200 * time.Millisecond
	expiryInterval   = 5 * time.Second // between two looks for expired messages, and for a log to compact
)

// Sizes of the log.
const (
	minSegmentBytes     = 1 << 20
	maxSegmentBytes     = 8 << 20
	minSegmentsOnDisk   = 24 // that fit on the disk
	compactionThreshold = 3  // the log is compacted when it takes more than one part in so many of the disk
	compactionShare     = 2  // of all segments, one in so many is emptied at a time
	fullNumerator       = 9  // no message is taken when the log fills more than so many parts
	fullDenominator     = 10 // of so many of the disk
)

// segmentBytes returns the size of a segment for a disk of some bytes, 0 for no limit.
func segmentBytes(disk int64) int64 {
	if disk <= 0 {
		return maxSegmentBytes
	}
	return min(max(disk/minSegmentsOnDisk, minSegmentBytes), maxSegmentBytes)
}
