// Package lease keeps the leases of all processes at one member of the control group.
//
// A process renews its lease at any member. A backup forwards the renewals of stores and members to the primary with
// its responses to heartbeats (PendingRenewals, ApplyRenewals). The primary decides by the leases which processes are
// alive. A store measures its lease from a renewal that the primary is known to have (ConfirmedAt), so the store stops
// before the primary gives its partitions to other stores.
//
// Invariants: a store's lease is valid at the primary at least until the store stops acting on it, unless the process
// was found dead; a renewal that arrived before a process was found dead does not revive it; the end of an earlier
// incarnation's lease does not end the lease of a later incarnation.
//
// A Table is in memory only and is safe for concurrent use. One mutex guards it and is never held during a callback.
// The package starts no goroutine and reads no clock. Start reading at Table.Renew and Table.Statuses; renewal.go holds
// the renewals that backups forward.
package lease

import (
	"sync"
	"time"

	"gladepick/internal/cluster"
)

const (
	// recentRenewal is the age below which a renewal shows that a process did not fail together with processes whose
	// leases have just expired. A lease lasts much longer than the interval between its renewals. If all processes
	// failed at once, the renewals of all are therefore older than this when the first of their leases expires.
	recentRenewal = 900 * time.Millisecond
	// expiredLeaseRetention is how long an expired lease stays in the table.
	expiredLeaseRetention = time.Minute
)

// entry is the lease of one process.
type entry struct {
	info    cluster.NodeInfo
	renewed time.Time // when the newest renewal arrived; zero if there was none
	expires time.Time
	revoked time.Time // when the process was last found dead; renewals that arrived earlier are ignored
	// unresponsive is when the process last failed to answer a ping. A later renewal shows that it responds again.
	unresponsive time.Time
	// confirmed is the arrival of the newest renewal that the primary is known to have; zero if there was none. A process
	// that must not act after the end of its lease measures the lease from here: the primary may not know of later
	// renewals.
	confirmed time.Time
	forwarded forwardedRenewal
}

// isUnresponsive reports whether the process has not renewed its lease since it failed to answer a ping.
func (e *entry) isUnresponsive() bool { return e.unresponsive.After(e.renewed) }

// Table holds the leases of all processes.
type Table struct {
	mutex   sync.Mutex
	entries map[string]*entry // by the process's name
	changed func()
}

// NewTable returns an empty table. The table calls changed, without holding its lock, when a process is new, announces
// different properties, renews an expired lease, responds again, or is found dead or unresponsive.
func NewTable(changed func()) *Table {
	return &Table{entries: map[string]*entry{}, changed: changed}
}

// Renew applies a renewal that arrived at a member at the given time.
func (t *Table) Renew(info cluster.NodeInfo, at time.Time) {
	t.mutex.Lock()
	changed := t.renewLocked(info, at)
	t.mutex.Unlock()
	if changed {
		t.changed()
	}
}

// renewLocked applies a renewal and reports whether it does more than extend the lease. The caller holds the lock.
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

// Grant gives a store a full lease without a renewal. A new primary grants one to each store that is not known to be
// down.
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

// Revoke ends the lease of a process that was found dead, unless another incarnation now holds the lease. It reports
// whether the lease was valid until then.
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

// MarkUnresponsive records that a process with a valid lease did not answer. The process keeps its lease because it may
// be alive.
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

// Live returns the properties that a process last announced, and false if its lease is not valid.
func (t *Table) Live(name string, now time.Time) (cluster.NodeInfo, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[name]
	if !found || !now.Before(known.expires) {
		return cluster.NodeInfo{}, false
	}
	return known.info, true
}

// find returns the properties that a process last announced, also if its lease has expired.
func (t *Table) find(name string) (cluster.NodeInfo, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[name]
	if !found {
		return cluster.NodeInfo{}, false
	}
	return known.info, true
}

// Status is the state of a process according to its lease.
type Status struct {
	Info         cluster.NodeInfo
	Live         bool      // the lease is valid
	Recent       bool      // renewed so recently that it did not fail together with processes whose leases expire now
	Expires      time.Time // when the lease expires or expired
	Revoked      time.Time // when the process was last found dead; zero if never
	Unresponsive bool      // the process failed to answer a ping and has not renewed its lease since
}

// Statuses returns the status of each process by its name. It removes leases that expired more than
// expiredLeaseRetention ago.
func (t *Table) Statuses(now time.Time) map[string]Status {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	statuses := make(map[string]Status, len(t.entries))
	for name, known := range t.entries {
		if now.Sub(known.expires) > expiredLeaseRetention {
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
