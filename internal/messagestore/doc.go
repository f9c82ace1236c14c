// Package messagestore keeps messages on a store's disk and on those of the other replicas of their partitions.
//
// Messages are spread over partitions. A partition's replica group has a primary, which takes messages, and backups. The
// control plane alone decides who is primary and tells all stores by the cluster table; the replication is primary-backup,
// as in PacificA: a message is committed once every replica of the primary's view has synced it. The primary hands committed
// messages to its delivery engine. docs/replication.md argues for safety, docs/format/messagestore.md describes the records.
//
// # Invariants
//
//   - Before a put is answered without an error, which a front passes on as 202, the message's record is synced on the
//     primary's disk and on the disk of every backup of the primary's view, Options.ReplicationFactor disks at the least.
//   - Epochs are fencing tokens. Each change of a primary raises the partition's epoch. A store remembers the highest epoch
//     that it has seen, on its disk too, and rejects records of a lower one; a primary that is rejected stops at once.
//   - Deliveries of a partition start only while no other store can be its primary (deliveryFence): the store's lease from
//     the control plane runs, or every backup has granted it a lease under this epoch within the last second. A new primary
//     waits for the end of all leases that it, or the primary before it, has granted.
//   - What a disk has confirmed counts for that disk only: each call names the disk that it is meant for.
//   - A backup is called synced, so that it may be promoted, after every record that it lacked was taken, none left out.
//   - Deliveries that were stopped for a handover go on only after the control plane has clearly rejected it, or a newer view
//     has come.
//   - An ended message stays ended. Ends of messages are replicated but not waited for: a successor may run a message again.
//
// # Goroutines
//
// Start begins maintain, which repairs backups, asks for leases, drops what is old and compacts the log. Each disk that a
// primary sends records to has a replicator, which makes one call at a time. A resync of a backup, a handover to the
// preferred primary, a report and a forwarded outcome run in a goroutine each, for their time only. All belong to
// Store.background, end with Store.context, and are waited for by Close. Handlers of calls run in goroutines of the
// rpc.Server. The engine calls MayDeliver, Body, Failed and Ended from its own.
//
// # Locks
//
// Store.mu guards all of the store's state, and that of its partitions, entries and replicators. It is held while records
// are appended to the log, which is done in memory, and while a snapshot of the index is written, with its I/O; otherwise
// never during a sync of the log, and never during a call. deliveryFence.mutex is taken under Store.mu or alone, the log's
// locks under Store.mu. MayDeliver takes neither Store.mu nor the log's locks, as it is asked for each delivery.
//
// # Where to start reading
//
// store.go, then put.go and commit.go for the way of a message, follower.go for the other end, leadership.go for what a new
// table changes, delivery_fence.go for who may deliver, resync.go for how a backup is brought up to date. What is logged
// and sent is defined in package record, the calls in package protocol; fronts use package client. The protocol's model is
// in the files model_*_test.go.
package messagestore
