package wal

import "time"

const (
	defaultSegmentBytes = 8 << 20
	maxBacklogBytes     = 16 << 20 // limit of what waits for a slow disk
	maxFullBacklogBytes = 1 << 20  // limit of what waits for a full disk
	maxSpareBytes       = 128 << 10

	failingAfter      = 500 * time.Millisecond // a sync that takes longer makes the disk count as failing
	fullRetryInterval = time.Second
)
