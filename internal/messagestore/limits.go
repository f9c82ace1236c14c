package messagestore

import "time"

// Sequence numbers have the epoch in the upper 32 bits and a counter in the lower 32 bits.
const (
	epochShift = 32
	firstEpoch = 1 // of a partition's first view, before which no store has led
	// restartGap is added to each partition's counter at a start, so that sequence numbers of records that were lost in
	// a crash are not assigned again.
	restartGap = 1 << 16
)

// Leases that backups grant to a primary.
const (
	backupLease = time.Second // duration of a lease
	// backupLeaseMargin is the remaining time of a store's lease from the control plane below which the store requests
	// leases from its backups.
	backupLeaseMargin = 300 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond // between two requests for leases
)

// Calls to other processes.
const (
	// replicateTimeout limits one call. After it, the control plane is asked to replace the backup if writes wait for
	// it.
	replicateTimeout  = 300 * time.Millisecond
	inventoryTimeout  = time.Second
	outcomeTimeout    = time.Second
	controlTimeout    = time.Second
	unresponsiveAfter = 150 * time.Millisecond // puts go to other partitions while a call is in flight for longer
	reportInterval    = 200 * time.Millisecond // between two reports of the same store

	batchBytes    = 256 << 10 // approximate limit of the records in one call to a backup
	recordsAtOnce = 1000      // limit of the messages that one call asks a replica for
)

// syncDelay is the longest time that the record of an outcome or of a failed attempt waits for further ones before the
// disk is synced.
const syncDelay = 20 * time.Millisecond

// Outcomes that a new primary may lack, and outcomes that callers ask for.
const (
	// unreachableReplicaWait is how long a new primary waits for outcomes from a replica that is known to be down or
	// unreachable but stays in the view.
	unreachableReplicaWait = 2 * time.Second
	commitOutcomeTimeout   = 500 * time.Millisecond // of a query for the state of a message whose outcome is not committed
)

// Resync and replacement of backups.
const (
	resyncTimeout       = 5 * time.Second
	resyncRetryInterval = 200 * time.Millisecond
	resyncGracePeriod   = 600 * time.Millisecond // a backup whose resync fails for longer is replaced
	// replacementDelay passes before a failing backup is replaced, so that other stores that failed at the same time
	// are known by then.
	replacementDelay = 50 * time.Millisecond
)

// Handovers.
const (
	handoverPollInterval    = 10 * time.Millisecond  // between two checks for attempts in flight
	preferredPrimaryTimeout = 2 * time.Second        // of a handover to the preferred primary; then deliveries resume
	unknownOutcomeInterval  = 100 * time.Millisecond // between two requests while the outcome of a handover is unknown
	// unknownOutcomeTimeout is the time after which the control plane can no longer execute a request whose outcome is
	// unknown.
	unknownOutcomeTimeout = 4 * time.Second
)

// fencedRenewalDelay is how long a fenced primary waits for a newer view before it asks the control plane for a new
// epoch, and between two such requests.
const fencedRenewalDelay = time.Second

// Maintenance.
const (
	maintainInterval = 200 * time.Millisecond
	expiryInterval   = 5 * time.Second // between two checks for expired messages and for a log to compact
)

// Sizes of the log.
const (
	minSegmentBytes     = 1 << 20
	maxSegmentBytes     = 8 << 20
	minSegmentsOnDisk   = 24 // segments are small enough for this many to fit on the disk
	compactionThreshold = 3  // the log is compacted once it takes 1/compactionThreshold of the disk
	compactionShare     = 2  // one compaction empties 1/compactionShare of the segments
	// compactionBatchBytes is the number of copied bytes after which a compaction syncs the log, which accepts no records
	// while too many bytes wait for the disk.
	compactionBatchBytes = 1 << 20
	fullNumerator        = 9  // no message is accepted while the log takes more than
	fullDenominator      = 10 // fullNumerator/fullDenominator of the disk
)

// segmentBytes returns the size of a segment for a disk of the given size in bytes; 0 means a disk without a limit.
func segmentBytes(disk int64) int64 {
	if disk <= 0 {
		return maxSegmentBytes
	}
	return min(max(disk/minSegmentsOnDisk, minSegmentBytes), maxSegmentBytes)
}
