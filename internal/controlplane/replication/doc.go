// Package replication keeps a small state machine on several processes by primary-backup replication, close to
// Viewstamped Replication.
//
// # Protocol
//
// A view names an epoch, the primary, the in-sync set and the members. The primary appends a change to its log, sends it
// to every backup of the in-sync set, and commits and acknowledges it when all of them have synced it. Every member is
// also a witness: it stores the highest epoch that it has promised, to whom, and the newest view that it has accepted. A
// new view is made for an election, for each change of the in-sync set and for each change of the membership, always by
// the process that is to be its primary, and always in the same steps, as in Paxos: after a pre-vote without effect, a
// majority of the newest view's members promises a new epoch (prepare); the processes of the new in-sync set get the
// same log (align); and a majority accepts the view (accept). It is in force then, and the whole log of its primary is
// committed. Heartbeats renew the primary's lease and tell backups what is committed. Each heartbeat echoes the number
// of the newest response from that backup, so that the backup knows a time after which it was sent.
//
// # Invariants
//
//   - A witness promises and accepts nothing below the highest epoch that it has promised, and an epoch only to one
//     process; so an epoch has one primary at most.
//   - Only a process of the newest view's in-sync set makes the next view. Every acknowledged change is on every disk of
//     that set, so it is in the log of each later primary.
//   - A promise, an accepted view and an appended entry are durable before the process confirms them.
//   - The lease counts from the sending of a heartbeat; it is valid only while a majority of the witnesses and the whole
//     in-sync set have responded within it. A lease that has expired is valid again only in a new view.
//   - While the membership changes, every round needs majorities of the previous and of the new members.
//
// The tests whose files begin with explorer search a model of the protocol for states that break them;
// docs/replication.md has the argument for safety.
//
// # Goroutines and locks
//
// Run's goroutine watches the primary and campaigns. While this process leads, the goroutine of its leadership commits
// batches and makes views, and another one for each peer sends heartbeats. The handlers of calls run in the goroutines
// of the rpc server. Group.viewChanges is held during a whole view change. No mutex is held during a call or a write to
// the disk: locks for that time are semaphores. The order is replica.snapshotting before replica.mu, and
// Group.observersMu before leadership.mu before peer.mu. The state machine is called under replica.mu.
//
// # On the disk
//
// The log (package wal) holds an entry for each change, and its snapshots the state machine's state with the entries
// that were not yet applied; the file "witness" holds the witness's record as JSON. The files under testdata fix these
// formats, and those of the messages.
//
// Start reading at Group, then Group.changeView, leadership.step and Group.serveAppend.
package replication
