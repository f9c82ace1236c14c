// Package wal is a write-ahead log. It stores records in segment files, and snapshots in the same directory.
// docs/format/wal.md describes the files.
//
// A Log has one owner, which rebuilds its state from the log: Open passes the newest snapshot and all later records to
// the owner. Append buffers records in memory. Sync writes them and makes them durable; concurrent callers share one
// sync of the disk (group commit). A replay does not need the segments that a snapshot covers. They stay until
// RemoveSegments, because their records can still be read by position.
//
// Invariants:
//
//   - Once Sync has returned nil, every record appended before the call survives a power loss.
//   - A replay yields a prefix of the appended records in order. The prefix contains all durable records, and no record
//     that follows a torn or corrupt one. In the last segment the replay stops at the first torn or corrupt record and
//     truncates the segment there. Damage in an earlier segment is ErrCorrupt.
//   - Segments have consecutive numbers. A segment's file is created only after the previous segment is complete and
//     synced.
//   - A snapshot is durable before older snapshots are removed.
//   - After a disk error other than a full disk, the log rejects all appends and syncs, because the state that a failed
//     sync left on the disk is unknown.
//
// Goroutines: the log runs one goroutine (flushBatches) while a caller waits for a sync. Only this goroutine writes
// segments, and it owns the active segment. A timer restarts it about every second while the disk is full. Close waits
// for it.
//
// Locks: Log.mutex guards the state in memory. The only I/O under it is opening and closing segment files.
// Log.snapshotMutex is held during the I/O of a snapshot, and is acquired before Log.mutex.
//
// Start reading at Log in log.go, then group_commit.go. replay.go implements Open.
package wal
