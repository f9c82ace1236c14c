// Package wal is a write-ahead log: records in segment files, and snapshots beside them. docs/format/wal.md describes the
// files.
//
// A Log belongs to one owner, which rebuilds its state from it: Open hands the newest snapshot and all later records over.
// Appended records gather in memory. Sync writes them and makes them durable; callers that wait at the same time share one
// sync of the disk (group commit). A snapshot makes the segments before it unnecessary for a replay; they stay until
// RemoveSegments, as their records can still be read by their positions.
//
// Invariants:
//
//   - Once Sync has returned nil, every record appended before the call outlives a loss of power.
//   - A replay hands over a prefix of the appended records: all durable ones, in order, and none behind a torn or corrupt
//     one. In the last segment the replay stops at the first torn or corrupt record and cuts off the rest; damage in an
//     earlier segment is ErrCorrupt.
//   - Segments have consecutive numbers. A segment's file is made only after the one before it is complete and synced.
//   - A snapshot is durable before older snapshots are removed.
//   - After an error of the disk other than a full one, the log takes nothing any more: what a failed sync has left on the
//     disk is not known.
//
// Goroutines: the log starts one goroutine while somebody waits for a sync (flushBatches); it alone writes segments, and
// owns the active segment. A timer wakes it about every second while the disk is full. Close waits for it.
//
// Locks: Log.mutex guards the state in memory; of all I/O only the opening and closing of segments is done under it.
// Log.snapshotMutex is held during the I/O of a snapshot, and is taken before Log.mutex.
//
// Start reading at Log in log.go, then group_commit.go; replay.go is what happens at a start.
package wal
