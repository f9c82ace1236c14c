// The replicated table of leases and its commands.

package durablejobs

import (
	"log/slog"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/dispatcher/lease"
)

// machine is a lease table as the replica wants it.
type machine struct{ *lease.Table }

func (m *machine) Apply(command []byte) []byte {
	var r lease.Response
	if c, err := lease.Decode(command); err == nil {
		r = m.Table.Apply(c)
	} else { // of a later version of the program: no copy of this one can follow it
		r.Decision = lease.Forbidden
	}
	return encode(r)
}

// seen is the answer to a look.
type seen struct {
	_      struct{} `cbor:",toarray"`
	Found  bool
	Record lease.Record
}

func (m *machine) Query(key []byte) []byte {
	r, ok := m.Get(string(key))
	return encode(seen{Found: ok, Record: r})
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // nothing in these can fail
	}
	return data
}

// propose brings a command to its group's copies.
func (k *Keeper) propose(group int, c *lease.Command, until time.Duration, then func(lease.Response, error)) {
	token, acts := k.host.Propose(k.now(), group, encode(c), until)
	k.tokens[token] = func(data []byte, err error) {
		var r lease.Response
		if err == nil {
			r, err = lease.DecodeResponse(data)
		}
		if err != nil {
			k.Counts.Unsure.Add(1)
		}
		then(r, err)
	}
	k.do(acts)
}

// command is one of the group's own, by whom it is led.
func (k *Keeper) command(group int, c *lease.Command) {
	k.seizing[group] = true
	k.propose(group, c, k.now()+time.Second, func(r lease.Response, err error) {
		delete(k.seizing, group)
		if err == nil && c.Kind == lease.TakeOver && r.Moved > 0 {
			slog.Info("taken over", "from", c.PreviousOwner, "group", group, "leases", r.Moved)
			k.note(map[string]any{"act": "seize", "from": c.PreviousOwner, "group": group, "leases": r.Moved, "owner": c.Owner})
		}
	})
}
