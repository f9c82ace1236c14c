// Package messagestore stores messages on a store's disk and replicates them to the other replicas of their partitions.
//
// Messages are distributed over partitions. A partition's replica group has a primary, which accepts messages, and
// backups. Only the control plane decides which store is the primary; it tells all stores by the cluster table. The
// replication is primary-backup, as in PacificA: a message is committed once every replica of the primary's view has
// synced it. The primary submits committed messages to its delivery engine. docs/replication.md has the safety
// argument, docs/format/messagestore.md describes the records.
//
// # Invariants
//
//   - Before a put is answered without an error, which a front passes on as 202, the message's record is synced on the
//     primary's disk and on the disk of every backup of the primary's view. These are at least
//     Options.ReplicationFactor disks.
//   - Epochs are fencing tokens. Each change of a primary raises the partition's epoch. A store persists the highest
//     epoch that it has seen and rejects records of a lower one. A primary whose records are rejected stops at once.
//   - Deliveries of a partition start only while no other store can be its primary (deliveryFence): the store's lease
//     from the control plane is valid, or every backup has granted it a lease under this epoch within the last second.
//     A new primary waits until all leases that it, or the primary before it, has granted have ended.
//   - A fenced primary accepts and delivers nothing. The state ends with a view of a newer epoch, which the primary asks for
//     if none arrives.
//   - A confirmation counts only for the disk that gave it: each call names the disk that it is meant for.
//   - A backup is marked as synced, and so may be promoted, only after it has stored every record that it lacked.
//   - Deliveries that were stopped for a handover resume only after the control plane has definitely rejected the
//     handover, or after a newer view has arrived.
//   - An ended message stays ended. Outcomes are replicated without waiting for the replicas, and are synced within about
//     syncDelay. A caller learns an outcome only once every replica of the view has synced it.
//   - A new primary runs a message that its log calls queued only after every other replica of its view has told how the
//     messages ended that it knows of, or has left the view (catchUp).
//
// # Goroutines
//
// Start starts maintain, which resyncs backups, requests leases, drops expired entries and compacts the log, and
// syncInBackground, which syncs records that no caller waits for. Each disk that a primary sends records to has a
// replicator, which makes one call at a time. Each resync of a backup, handover to the preferred primary, failure report
// and forwarded outcome runs in a short-lived goroutine. All of these belong to Store.background and end with
// Store.context, and Close waits for them. Handlers of calls run in goroutines of the rpc.Server. The engine calls
// MayDeliver, Body, Failed and Ended from its own goroutines.
//
// # Locks
//
// Store.mu guards the state of the store and of its partitions, entries and replicators. It is held while records are
// appended to the log, which is done in memory, and while one partition at a time is encoded for a snapshot of the
// index. It is never held during a sync of the log, the I/O of a snapshot, or a call. deliveryFence.mutex is acquired
// under Store.mu or alone, the log's locks under Store.mu. MayDeliver acquires neither Store.mu nor the log's locks, as
// the engine calls it for each delivery.
//
// # Where to start reading
//
// Start with store.go. The other files belong to these parts:
//
//   - the log and the index: entry.go, partition.go, index_snapshot.go, compaction.go, background_sync.go
//   - a message's path: put.go, commit.go, query.go, outcome.go, engine.go
//   - replication at the primary: replicator.go, batch_result.go, resync.go, missing.go
//   - replication at a backup: follower.go
//   - leadership: leadership.go, fencing.go, delivery_fence.go, backup_lease.go, handover.go, drain.go, control.go
//   - recovery, what a new primary learns from other replicas: catch_up.go, collection.go, collection_source.go
//   - upkeep: maintenance.go, limits.go, errors.go
//
// docs/architecture.md has the path of a message and what follows a failure, with the function of each step. Package record
// defines the records in the log and between replicas, package protocol the calls. Fronts use package client. The files
// model_*_test.go have models of the protocol.
package messagestore
