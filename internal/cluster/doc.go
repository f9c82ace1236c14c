// Package cluster defines what every process of the system knows about the others: the identity of a process, the
// cluster table that the control plane publishes, the list of workers, and the messages that distribute them. An Agent
// keeps them current. The package makes no decisions: package controlplane builds tables and lists.
//
// Published values (Table, WorkerList and the values they contain) are immutable: they are built once, replaced as a
// whole and never modified, so that readers need no lock. Their JSON is stored, and sent between processes of different
// versions. The files under testdata fix the format.
//
// Agent.Run, in one goroutine, finds the control group through the seeds, the disk or the cluster table, and syncs with
// one of its members by long polling. Each successful sync renews the lease of the process and returns the changes. The
// lease counts from the sending of the request. It becomes valid only after all subscribers have been called with the
// snapshots from the same response. Agent.mutex guards the seeds, the subscribers, the sources, and the members and the
// primary that responses have named. It is never held during a call.
//
// Start reading at Table and Partition, then Agent.Run.
package cluster
