// The replicated table of leases and its commands.

package durablejobs

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/dispatcher/lease"
)

// leaseMachine is a lease table as a replicated state machine.
type leaseMachine struct{ *lease.Table }

func (m *leaseMachine) Apply(command []byte) []byte {
	var r lease.Response
	if c, err := lease.Decode(command); err == nil {
		r = m.Table.Apply(c)
	} else { // of a later version of the program, which replicas of this one cannot follow
		r.Decision = lease.Forbidden
	}
	return encode(r)
}

// queryAnswer is the answer to a query.
type queryAnswer struct {
	_      struct{} `cbor:",toarray"`
	Found  bool
	Record lease.Record
}

func (m *leaseMachine) Query(key []byte) []byte {
	r, ok := m.Get(string(key))
	return encode(queryAnswer{Found: ok, Record: r})
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // nothing in these can fail
	}
	return data
}

// propose sends a command to its group's replicas.
func (m *Manager) propose(group int, c *lease.Command, until time.Duration, then func(lease.Response, error)) {
	token, acts := m.replicas.Propose(m.now(), group, encode(c), until)
	m.callbacks[token] = func(data []byte, err error) {
		var r lease.Response
		if err == nil {
			r, err = lease.DecodeResponse(data)
		}
		if err != nil {
			m.Counters.UnknownOutcome.Add(1)
		}
		then(r, err)
	}
	m.carryOut(acts)
}

// proposeGroupCommand proposes a command of the group's leader.
func (m *Manager) proposeGroupCommand(group int, c *lease.Command) {
	m.takingOver[group] = true
	m.propose(group, c, m.now()+time.Second, func(r lease.Response, err error) {
		delete(m.takingOver, group)
		if err == nil && c.Kind == lease.TakeOver && r.Moved > 0 {
			slog.Info("taken over", "from", c.PreviousOwner, "group", group, "leases", r.Moved)
			m.logEvent(map[string]any{"act": "seize", "from": c.PreviousOwner, "group": group, "leases": r.Moved, "owner": c.Owner})
		}
	})
}
