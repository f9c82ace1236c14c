// Package lease keeps the leases of all processes at one member of the control group.
//
// A process renews its lease at any member; a backup forwards the renewals of stores and members to the primary with its
// responses to heartbeats (PendingRenewals, ApplyRenewals). The primary decides by the leases who is alive. A store counts
// its lease from a renewal that the primary surely knows of (ConfirmedAt), so that it stops before the primary gives its
// partitions to others.
//
// Invariants: a lease ends no later than a process may act on it; a renewal that arrived before a process was found dead
// does not revive it; a later incarnation outlives the end of an earlier one.
//
// A Table is in memory only and is safe for concurrent use: one mutex guards it, and is never held during a callback. The
// package starts no goroutine and reads no clock. Start reading at Table.Renew and Table.Statuses; renewal.go holds what
// backups forward.
package lease

import (
	"sync"
	"time"

	"gladepick/internal/cluster"
)

const (
	// recentRenewal bounds the age of a renewal that shows a process to be alive after others have been found dead.
	// Leases are renewed far more often than they run out; so where all processes died at one moment, the renewals
	// of all are older than this by the time the first of their leases runs out.
	recentRenewal = 900 * time.Millisecond
	// memory is how long a lease that has run out is remembered.
	memory = time.Minute
)

// entry is what a member knows of one process.
type entry struct {
	info    cluster.NodeInfo
	renewed time.Time // when the newest renewal arrived; zero where there was none
	expires time.Time
	revoked time.Time // when the process was last found dead; renewals from before do not count
	// unresponsive is when the process was last found not to answer; a renewal from after that shows that it does again.
	unresponsive time.Time
	// confirmed is when the newest renewal arrived that the primary is known to have; zero where there was none. Whoever
	// must not act after the end of its lease counts it from here: the primary may not know of later renewals.
	confirmed time.Time
	forwarded forwardedRenewal
}

// isUnresponsive tells whether nothing was heard of the process since it was found not to answer.
func (e *entry) isUnresponsive() bool { return e.unresponsive.After(e.renewed) }

// Table holds the leases of all processes.
type Table struct {
	mutex   sync.Mutex
	entries map[string]*entry // by the process's name
	changed func()
}

// NewTable returns an empty table. It calls a function, without its lock, when a process is new, announces something
// else, or is found dead or unresponsive.
func NewTable(changed func()) *Table {
	return &Table{entries: map[string]*entry{}, changed: changed}
}

// Renew takes in a renewal that arrived at a member at the given time.
func (t *Table) Renew(info cluster.NodeInfo, at time.Time) {
	t.mutex.Lock()
	changed := t.renewLocked(info, at)
	t.mutex.Unlock()
	if changed {
		t.changed()
	}
}

// renewLocked takes in a renewal and tells whether it is more than a repetition. The caller holds the lock.
func (t *Table) renewLocked(info cluster.NodeInfo, at time.Time) bool {
	known, found := t.entries[info.Name]
	if !found {
		known = &entry{}
		t.entries[info.Name] = known
	}
	if at.Before(known.renewed) || at.Before(known.revoked) {
		return false
	}
	changed := known.info != info || at.After(known.expires) || known.isUnresponsive() && at.After(known.unresponsive)
	if known.info != info {
		known.forwarded.complete = false
	}
	if known.info.Incarnation != info.Incarnation {
		known.confirmed, known.forwarded.response = time.Time{}, 0
	}
	known.info = info
	known.renewed = at
	if expires := at.Add(cluster.LeaseDuration); expires.After(known.expires) {
		known.expires = expires
	}
	known.forwarded.pending = true
	return changed
}

// Grant gives a store a full lease without a renewal. A new primary does so for all that are not known to be down.
func (t *Table) Grant(info cluster.NodeInfo, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[info.Name]
	if !found {
		known = &entry{info: info}
		t.entries[info.Name] = known
	}
	known.expires = now.Add(cluster.LeaseDuration)
}

// Revoke ends the lease of a process that was found dead, unless a later incarnation has taken the lease up. It tells
// whether the lease ran until then.
func (t *Table) Revoke(dead cluster.NodeInfo, now time.Time) bool {
	t.mutex.Lock()
	known, found := t.entries[dead.Name]
	ended := found && known.info.Incarnation == dead.Incarnation && now.Before(known.expires)
	if ended {
		known.expires = now
		known.revoked = now
	}
	t.mutex.Unlock()
	if ended {
		t.changed()
	}
	return ended
}

// MarkUnresponsive notes that a process with a running lease does not answer. It keeps its lease, as it may be alive.
func (t *Table) MarkUnresponsive(info cluster.NodeInfo, now time.Time) {
	t.mutex.Lock()
	known, found := t.entries[info.Name]
	changed := found && known.info.Incarnation == info.Incarnation && now.Before(known.expires) && !known.isUnresponsive()
	if changed {
		known.unresponsive = now
	}
	t.mutex.Unlock()
	if changed {
		t.changed()
	}
}

// Live returns what a process last announced, where its lease runs.
func (t *Table) Live(name string, now time.Time) (cluster.NodeInfo, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[name]
	if !found || !now.Before(known.expires) {
		return cluster.NodeInfo{}, false
	}
	return known.info, true
}

// find returns what a process last announced.
func (t *Table) find(name string) (cluster.NodeInfo, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[name]
	if !found {
		return cluster.NodeInfo{}, false
	}
	return known.info, true
}

// Status is a process as its lease shows it.
type Status struct {
	Info         cluster.NodeInfo
	Live         bool      // the lease runs
	Recent       bool      // renewed so lately that it surely outlived those whose lease has run out now
	Expires      time.Time // when the lease runs out or ran out
	Revoked      time.Time // when the process was last found dead; zero where it was not
	Unresponsive bool      // it was found not to answer, and has not renewed the lease since
}

// Statuses returns all processes by their names, and forgets those whose leases ran out long ago.
func (t *Table) Statuses(now time.Time) map[string]Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	statuses := make(map[string]Status, len(t.entries))
	for name, known := range t.entries {
		if now.Sub(known.expires) > memory {
			delete(t.entries, name)
			continue
		}
		live := now.Before(known.expires)
		statuses[name] = Status{
			Info:         known.info,
			Live:         live,
			Recent:       live && now.Sub(known.renewed) < recentRenewal,
			Expires:      known.expires,
			Revoked:      known.revoked,
			Unresponsive: known.isUnresponsive(),
		}
	}
	return statuses
}
