package wal

import "time"

const (
	defaultSegmentBytes       = 8 << 20
	maxBacklogBytes           = 16 << 20  // limit of the bytes that wait for a slow disk
	maxBacklogBytesOnFullDisk = 1 << 20   // limit of the bytes that wait for a full disk
	maxSpareBufferBytes       = 128 << 10 // larger buffers are not kept for reuse

	slowSyncThreshold     = 500 * time.Millisecond // while a sync takes longer, the disk counts as failing
	diskFullRetryInterval = time.Second
)
