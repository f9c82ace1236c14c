package controlplane

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

// change is one record of the replicated log. Exactly one field is set. The JSON line of the record is followed by the
// operator's body, byte for byte, where the change is an order.
type change struct {
	Order *orderChange `json:"order,omitempty"`
	Table *tableChange `json:"table,omitempty"`
}

// orderChange is an accepted order that replaces or updates the configuration. It is without effect unless the
// configuration still has the version it builds on.
type orderChange struct {
	Digest string `json:"digest"`
	Base   uint64 `json:"base"`
	Update bool   `json:"update,omitempty"`
	Body   []byte `json:"-"`
}

// tableChange changes the cluster table and the retire jobs. It is without effect unless the table still has the
// revision it builds on.
type tableChange struct {
	ID string `json:"id"` // unique, so that its proposer sees whether it took effect
	cluster.TableChange
	Jobs []retireJob `json:"jobs,omitempty"`
}

// retireJob is an operator's order to empty a store. It holds for one disk; where the store comes back with another one
// before the order is carried out, a further job holds for that one.
type retireJob struct {
	Store     string `json:"store"`
	DiskID    string `json:"diskId"`
	Completed bool   `json:"completed,omitempty"`
}

// encode returns the record of a change.
func (c *change) encode() ([]byte, error) {
	line, err := json.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	record := append(line, '\n')
	if c.Order != nil {
		record = append(record, c.Order.Body...)
	}
	return record, nil
}

// decodeChange reads a record. The change does not refer to the record's memory.
func decodeChange(record []byte) (*change, error) {
	line, body, found := bytes.Cut(record, []byte{'\n'})
	if !found {
		return nil, trace.BadParameter("record of a change has no end of its line")
	}
	decoded := &change{}
	if err := json.Unmarshal(line, decoded); err != nil {
		return nil, trace.Wrap(err)
	}
	if decoded.Order != nil {
		decoded.Order.Body = bytes.Clone(body)
	}
	return decoded, nil
}
