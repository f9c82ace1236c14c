package lease

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

// completeRenewalInterval is the number of forwarded renewals after which the complete NodeInfo is sent again.
const completeRenewalInterval = 3

// Renewal is one lease renewal as a backup forwards it to the primary.
type Renewal struct {
	Node        *cluster.NodeInfo `json:"node,omitempty"` // nil if the primary knows it; then Name and Incarnation are set
	Name        string            `json:"name,omitempty"`
	Incarnation string            `json:"incarnation,omitempty"`
	AgeMS       int64             `json:"ageMs"` // time since its arrival at the backup, in milliseconds
}

// forwardedRenewal records what this member has forwarded to the primary about one lease.
type forwardedRenewal struct {
	pending  bool      // renewed since the last response to the primary
	complete bool      // the complete NodeInfo has been forwarded since it last changed
	response uint64    // number of the last response that carried a renewal and is not confirmed; 0 if there is none
	renewed  time.Time // arrival of the renewal that this response carried
	count    int       // of forwarded renewals
}

// PendingRenewals returns the renewals since the last call, encoded as JSON. The caller sends them to the primary as a
// part of the response with the given number. Only renewals of stores and core processes are included; the primary does
// not need the others. It returns nil if there are none.
func (t *Table) PendingRenewals(response uint64, now time.Time) []byte {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var renewals []Renewal
	for _, known := range t.entries {
		if !known.forwarded.pending {
			continue
		}
		known.forwarded.pending = false
		if known.info.Store || known.info.ControlEligible {
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

// forward returns the newest renewal, and records that the response with the given number carries it.
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

// ConfirmResponse records that the response with the given number has reached the primary. Renewals that earlier,
// unconfirmed responses carried may have been lost and are forwarded again.
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

// ConfirmRenewal records that the primary knows of the renewal that arrived at the given time.
func (t *Table) ConfirmRenewal(node *cluster.NodeInfo, arrived time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[node.Name]
	if found && known.info.Incarnation == node.Incarnation && arrived.After(known.confirmed) {
		known.confirmed = arrived
	}
}

// ConfirmedAt returns the time of arrival of a process's newest renewal that the primary is known to have, and false if
// there is none.
func (t *Table) ConfirmedAt(name, incarnation string) (time.Time, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, found := t.entries[name]
	if !found || known.info.Incarnation != incarnation || known.confirmed.IsZero() {
		return time.Time{}, false
	}
	return known.confirmed, true
}

// ApplyRenewals applies the renewals that a backup has forwarded: the payload that its PendingRenewals returned.
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
