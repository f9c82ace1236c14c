package lease

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

// completeRenewalInterval: every so many renewals are forwarded to the primary with the complete NodeInfo.
const completeRenewalInterval = 3

// Renewal is one renewal as a backup forwards it to the primary.
type Renewal struct {
	Node        *cluster.NodeInfo `json:"node,omitempty"` // where the primary may not know it; else name and incarnation
	Name        string            `json:"name,omitempty"`
	Incarnation string            `json:"incarnation,omitempty"`
	AgeMS       int64             `json:"ageMs"` // how long ago it arrived at the backup
}

// forwardedRenewal is what this member has forwarded to the primary of a lease.
type forwardedRenewal struct {
	pending  bool      // renewed since the last response to the primary
	complete bool      // info as it is now has been forwarded completely
	response uint64    // number of the response that is not known to have arrived; 0 where there is none
	renewed  time.Time // the renewal that went with that response
	count    int
}

// PendingRenewals returns the renewals since the last call, for the primary, as a part of the response with a number. Only
// stores and members of the core matter to it.
func (t *Table) PendingRenewals(response uint64, now time.Time) []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var renewals []Renewal
	for _, known := range t.entries {
		if !known.forwarded.pending {
			continue
		}
		known.forwarded.pending = false
		if known.info.Store || known.info.Core {
			renewals = append(renewals, known.forward(response, now))
		}
	}
	if len(renewals) == 0 {
		return nil
	}
	slices.SortFunc(renewals, func(a, b Renewal) int { return strings.Compare(a.Name, b.Name) })
	payload, err := json.Marshal(renewals)
	if err != nil {
		return nil
	}
	return payload
}

// forward returns the newest renewal, and notes that it goes with a response.
func (e *entry) forward(response uint64, now time.Time) Renewal {
	e.forwarded.response, e.forwarded.renewed = response, e.renewed
	renewal := Renewal{Name: e.info.Name, AgeMS: now.Sub(e.renewed).Milliseconds()}
	e.forwarded.count++
	if e.forwarded.complete && e.forwarded.count%completeRenewalInterval != 0 {
		renewal.Incarnation = e.info.Incarnation
		return renewal
	}
	info := e.info
	renewal.Node = &info
	e.forwarded.complete = true
	return renewal
}

// ConfirmResponse records that a response with forwarded renewals has reached the primary. What went with earlier responses
// that were not confirmed may have been lost, and is forwarded again.
func (t *Table) ConfirmResponse(response uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, known := range t.entries {
		forwarded := &known.forwarded
		if forwarded.response == 0 || forwarded.response > response {
			continue
		}
		if forwarded.response == response {
			known.confirmed = latest(known.confirmed, forwarded.renewed)
		} else {
			forwarded.pending, forwarded.complete = true, false
		}
		forwarded.response = 0
	}
}

func latest(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// ConfirmRenewal records that the primary knows of a renewal that arrived at a moment.
func (t *Table) ConfirmRenewal(node *cluster.NodeInfo, arrived time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[node.Name]
	if found && known.info.Incarnation == node.Incarnation && arrived.After(known.confirmed) {
		known.confirmed = arrived
	}
}

// ConfirmedAt returns when the newest renewal of a process arrived that the primary is known to have.
func (t *Table) ConfirmedAt(name, incarnation string) (time.Time, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[name]
	if !found || known.info.Incarnation != incarnation || known.confirmed.IsZero() {
		return time.Time{}, false
	}
	return known.confirmed, true
}

// ApplyRenewals takes in the renewals that a backup has forwarded.
func (t *Table) ApplyRenewals(payload []byte, now time.Time) error {
	var renewals []Renewal
	if err := json.Unmarshal(payload, &renewals); err != nil {
		return trace.Wrap(err)
	}
	for _, renewal := range renewals {
		at := now.Add(-time.Duration(renewal.AgeMS) * time.Millisecond)
		if renewal.Node != nil {
			t.Renew(*renewal.Node, at)
			continue
		}
		if info, found := t.find(renewal.Name); found && info.Incarnation == renewal.Incarnation {
			t.Renew(info, at)
		}
	}
	return nil
}
