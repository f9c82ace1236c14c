// The lease table as a replicated state machine, and the proposal of its commands.

package durablejobs

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/dispatcher/lease"
)

// leaseMachine adapts a lease table to raftgroup.StateMachine.
type leaseMachine struct{ *lease.Table }

// Apply applies an encoded lease.Command and returns the encoded lease.Response.
func (m *leaseMachine) Apply(command []byte) []byte {
	var response lease.Response
	if c, err := lease.Decode(command); err == nil {
		response = m.Table.Apply(c)
	} else { // the command is of a later version of the program
		response.Decision = lease.Forbidden
	}
	return encode(response)
}

// queryAnswer is the answer to a query for a record.
type queryAnswer struct {
	_      struct{} `cbor:",toarray"`
	Found  bool
	Record lease.Record
}

// Query returns the encoded queryAnswer for a key.
func (m *leaseMachine) Query(key []byte) []byte {
	r, ok := m.Get(string(key))
	return encode(queryAnswer{Found: ok, Record: r})
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // unreachable: all encoded types can be encoded
	}
	return data
}

// propose proposes a command to a group and stops trying at a deadline. On Run's goroutine it calls the function then
// with the response or an error.
func (m *Manager) propose(group int, c *lease.Command, until time.Duration, then func(lease.Response, error)) {
	token, actions := m.replicas.Propose(m.now(), group, encode(c), until)
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
	m.carryOut(actions)
}

// proposeGroupCommand proposes a TakeOver or Expire command as the leader of a group.
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
