// Package replication replicates a small state machine to several processes, by a primary-backup protocol close to
// Viewstamped Replication.
//
// # Protocol
//
// A view names an epoch, the primary, the in-sync set and the members. The primary appends a change to its log and
// sends it to every backup of the in-sync set. When all of them have synced the change, the primary commits and
// acknowledges it. Every member is also a witness: it stores the highest epoch that it has promised, the process that
// it has promised it to, and the newest view that it has accepted.
//
// A new view is made for an election, for each change of the in-sync set and for each change of the membership. The
// process that will be the primary of the new view makes it, always in the same steps, as in Paxos:
//
//   - pre-vote: a majority would promise a new epoch; this step changes nothing.
//   - prepare: a majority of the newest view's members promises the epoch.
//   - align: the processes of the new in-sync set get the same log.
//   - accept: a majority accepts the view. It is in force then, and the whole log of its primary is committed.
//
// Heartbeats renew the primary's lease and carry the commit index to the backups. Each heartbeat echoes the number of
// the newest response from its receiver, so that the receiver knows a time after which the heartbeat was sent.
//
// # Invariants
//
//   - A witness promises and accepts nothing below the highest epoch that it has promised, and promises an epoch to one
//     process only. So an epoch has at most one primary.
//   - Only a process of the newest view's in-sync set makes the next view. Every acknowledged change is on every disk
//     of that set, so every later primary has it in its log.
//   - A promise, an accepted view and an appended entry are durable before the process confirms them.
//   - The lease counts from the sending of a heartbeat. It is valid only while a majority of the witnesses and the
//     whole in-sync set have responded to heartbeats that were sent within the lease duration. After it has expired, it
//     is valid again only in a new view.
//   - While the membership changes, every round needs majorities of the previous and of the new members.
//
// The tests in the files whose names begin with explorer search a model of the protocol for states that break the
// invariants; docs/replication.md has the argument for safety.
//
// # Goroutines and locks
//
// Run's goroutine watches the primary and campaigns. While this process leads, the leadership's goroutine commits
// batches and makes views, and one goroutine for each peer sends heartbeats. The handlers of calls run in the
// goroutines of the rpc server. Group.viewChanges is held during a whole view change. No mutex is held during a call or
// a write to the disk: semaphores serve for that. The lock order is replica.snapshotting before replica.mu, and
// Group.observersMu before leadership.mu before peer.mu. The state machine is called under replica.mu.
//
// # On the disk
//
// The log (package wal) holds an entry for each change. A snapshot holds the state machine's state and the entries that
// were not yet applied. The file "witness" holds the witness's record as JSON. The files under testdata fix these
// formats and those of the messages.
//
// Start reading at Group, then Group.changeView, leadership.step and Group.serveAppend.
package replication
