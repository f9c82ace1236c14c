// Package cluster holds what every process of the system knows about the others: the identity of a process, the cluster
// table that the control plane publishes, the list of workers, the messages by which they are distributed, and the agent
// that keeps them current. It decides nothing: tables and lists are built by package controlplane.
//
// Published values (Table, WorkerList and what they hold) are immutable: they are built once, swapped as a whole and
// never changed afterwards, so that readers need no lock. Their JSON is sent between processes of different versions and
// stored; the files under testdata fix it.
//
// An Agent runs one goroutine, in Run: it finds the control group by the seeds, the disk or the table, and syncs with one
// of its members by long polls. Each successful sync renews the lease of the process, counted from the sending of the
// request, and brings what has changed. A renewed lease is valid only after all subscribers have been called with the
// snapshots that came with it. Agent.mutex guards the seeds, the subscribers and what members have said; it is
// never held during a call.
//
// Start reading at Table and Partition, then Agent.Run.
package cluster
