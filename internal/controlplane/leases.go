package controlplane

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

const (
	// recentRenewal bounds the age of a renewal that shows a process to be alive after others have been found dead.
	// Leases are renewed far more often than they run out; so where all processes died at one moment, the renewals
	// of all are older than this by the time the first of their leases runs out.
	recentRenewal = 900 * time.Millisecond
	// leaseMemory is how long a lease that has run out is remembered.
	leaseMemory = time.Minute
	// fullRenewalInterval: every so many renewals are passed to the primary with the whole NodeInfo.
	fullRenewalInterval = 3
)

// lease is what a core member knows of one process.
type lease struct {
	info    cluster.NodeInfo
	renewed time.Time // when the newest renewal arrived; zero where there was none
	expires time.Time
	refused time.Time // when the process was last found dead; renewals from before do not count
	silent  time.Time // when the process was last found not to answer; a renewal from after that shows that it does again
	// confirmed is when the newest renewal arrived that the primary is known to have; zero where there was none. Whoever
	// must not act after the end of its lease counts it from here: the primary may not know of later renewals.
	confirmed time.Time
	passed    passedRenewal
}

// passedRenewal is what this member has told the primary of a lease.
type passedRenewal struct {
	pending bool      // renewed since the last answer to the primary
	full    bool      // info as it is now has been passed in whole
	number  uint64    // of the answer that is not known to have arrived; 0 where there is none
	renewed time.Time // the renewal that went with that answer
	count   int
}

// leaseTable holds the leases of all processes, in memory only.
type leaseTable struct {
	mutex   sync.Mutex
	leases  map[string]*lease
	changed func() // called without the lock when a process is new or announces something else
}

func newLeaseTable(changed func()) *leaseTable {
	return &leaseTable{leases: map[string]*lease{}, changed: changed}
}

// renew takes in a renewal that arrived at a member at the given time.
func (t *leaseTable) renew(info cluster.NodeInfo, at time.Time) {
	t.mutex.Lock()
	news := t.renewLocked(info, at)
	t.mutex.Unlock()
	if news {
		t.changed()
	}
}

func (t *leaseTable) renewLocked(info cluster.NodeInfo, at time.Time) bool {
	known, found := t.leases[info.Name]
	if !found {
		known = &lease{}
		t.leases[info.Name] = known
	}
	if at.Before(known.renewed) || at.Before(known.refused) {
		return false
	}
	news := known.info != info || at.After(known.expires) || known.isSilent() && at.After(known.silent)
	if known.info != info {
		known.passed.full = false
	}
	if known.info.Incarnation != info.Incarnation {
		known.confirmed, known.passed.number = time.Time{}, 0
	}
	known.info = info
	known.renewed = at
	if expires := at.Add(cluster.LeaseDuration); expires.After(known.expires) {
		known.expires = expires
	}
	known.passed.pending = true
	return news
}

// grant gives a store a full lease without a renewal. A new primary does so for all that are not known to be down.
func (t *leaseTable) grant(info cluster.NodeInfo, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.leases[info.Name]
	if !found {
		known = &lease{info: info}
		t.leases[info.Name] = known
	}
	known.expires = now.Add(cluster.LeaseDuration)
}

// refuse ends the lease of a process that was found dead, unless a later life of it has taken the lease up. It tells
// whether the lease ran until then.
func (t *leaseTable) refuse(dead cluster.NodeInfo, now time.Time) bool {
	t.mutex.Lock()
	known, found := t.leases[dead.Name]
	ended := found && known.info.Incarnation == dead.Incarnation && now.Before(known.expires)
	if ended {
		known.expires = now
		known.refused = now
	}
	t.mutex.Unlock()
	if ended {
		t.changed()
	}
	return ended
}

// suspect notes that a process with a running lease does not answer. It keeps its lease, as it may be alive.
func (t *leaseTable) suspect(silent cluster.NodeInfo, now time.Time) {
	t.mutex.Lock()
	known, found := t.leases[silent.Name]
	news := found && known.info.Incarnation == silent.Incarnation && now.Before(known.expires) && !known.isSilent()
	if news {
		known.silent = now
	}
	t.mutex.Unlock()
	if news {
		t.changed()
	}
}

// isSilent tells whether nothing was heard of the process since it was found not to answer.
func (l *lease) isSilent() bool { return l.silent.After(l.renewed) }

// live returns what a process last announced, where its lease runs.
func (t *leaseTable) live(name string, now time.Time) (cluster.NodeInfo, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.leases[name]
	if !found || !now.Before(known.expires) {
		return cluster.NodeInfo{}, false
	}
	return known.info, true
}

// find returns what a process last announced.
func (t *leaseTable) find(name string) (cluster.NodeInfo, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.leases[name]
	if !found {
		return cluster.NodeInfo{}, false
	}
	return known.info, true
}

// nodeStatus is a process as its lease shows it.
type nodeStatus struct {
	info    cluster.NodeInfo
	live    bool      // the lease runs
	recent  bool      // renewed so lately that it surely outlived those whose lease has run out now
	expires time.Time // when the lease runs out or ran out
	refused time.Time // when the process was last found dead; zero where it was not
	silent  bool      // it was found not to answer, and has not renewed the lease since
}

// statuses returns all processes by their names, and forgets those that have been silent for long.
func (t *leaseTable) statuses(now time.Time) map[string]nodeStatus {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	statuses := make(map[string]nodeStatus, len(t.leases))
	for name, known := range t.leases {
		if now.Sub(known.expires) > leaseMemory {
			delete(t.leases, name)
			continue
		}
		live := now.Before(known.expires)
		statuses[name] = nodeStatus{
			info:    known.info,
			live:    live,
			recent:  live && now.Sub(known.renewed) < recentRenewal,
			expires: known.expires,
			refused: known.refused,
			silent:  known.isSilent(),
		}
	}
	return statuses
}

// passedLease is one renewal as a backup passes it to the primary.
type passedLease struct {
	Node        *cluster.NodeInfo `json:"node,omitempty"` // in whole where the primary may not know it
	Name        string            `json:"name,omitempty"`
	Incarnation string            `json:"incarnation,omitempty"`
	AgeMS       int64             `json:"ageMs"`
}

// pass returns the renewals since the last call, for the primary, as a part of the answer with a number. Only stores and
// members of the core matter to it.
func (t *leaseTable) pass(number uint64, now time.Time) []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var renewals []passedLease
	for _, known := range t.leases {
		if !known.passed.pending {
			continue
		}
		known.passed.pending = false
		if known.info.Store || known.info.Core {
			renewals = append(renewals, known.pass(number, now))
		}
	}
	if len(renewals) == 0 {
		return nil
	}
	slices.SortFunc(renewals, func(a, b passedLease) int { return strings.Compare(a.Name, b.Name) })
	payload, err := json.Marshal(renewals)
	if err != nil {
		return nil
	}
	return payload
}

func (l *lease) pass(number uint64, now time.Time) passedLease {
	l.passed.number, l.passed.renewed = number, l.renewed
	passed := passedLease{Name: l.info.Name, AgeMS: now.Sub(l.renewed).Milliseconds()}
	l.passed.count++
	if l.passed.full && l.passed.count%fullRenewalInterval != 0 {
		passed.Incarnation = l.info.Incarnation
		return passed
	}
	info := l.info
	passed.Node = &info
	l.passed.full = true
	return passed
}

// confirm records that an answer with passed renewals has reached the primary. What went with earlier answers that were
// not confirmed may have been lost, and is passed again.
func (t *leaseTable) confirm(number uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.leases {
		passed := &known.passed
		if passed.number == 0 || passed.number > number {
			continue
		}
		if passed.number == number {
			known.confirmed = latest(known.confirmed, passed.renewed)
		} else {
			passed.pending, passed.full = true, false
		}
		passed.number = 0
	}
}

func latest(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// confirmAt records that the primary knows of a renewal that arrived at a moment.
func (t *leaseTable) confirmAt(node *cluster.NodeInfo, arrived time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.leases[node.Name]
	if found && known.info.Incarnation == node.Incarnation && arrived.After(known.confirmed) {
		known.confirmed = arrived
	}
}

// confirmedAt returns when the newest renewal of a process arrived that the primary is known to have.
func (t *leaseTable) confirmedAt(name, incarnation string) (time.Time, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.leases[name]
	if !found || known.info.Incarnation != incarnation || known.confirmed.IsZero() {
		return time.Time{}, false
	}
	return known.confirmed, true
}

// take takes in the renewals that a backup has passed on.
func (t *leaseTable) take(payload []byte, now time.Time) error {
	var renewals []passedLease
	if err := json.Unmarshal(payload, &renewals); err != nil {
		return trace.Wrap(err)
	}
	for _, renewal := range renewals {
		at := now.Add(-time.Duration(renewal.AgeMS) * time.Millisecond)
		if renewal.Node != nil {
			t.renew(*renewal.Node, at)
			continue
		}
		if info, found := t.find(renewal.Name); found && info.Incarnation == renewal.Incarnation {
			t.renew(info, at)
		}
	}
	return nil
}
