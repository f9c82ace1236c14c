package controlstate

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

// Change is one record of the replicated log. Exactly one field is set. The JSON line of the record is followed by the
// operator's body, byte for byte, where the change is one of the configuration.
type Change struct {
	Config *ConfigChange `json:"order,omitempty"`
	Table  *TableChange  `json:"table,omitempty"`
}

// ConfigChange is an accepted order that replaces or updates the configuration. It is without effect unless the
// configuration still has the version it builds on.
type ConfigChange struct {
	Digest string `json:"digest"` // of the order, by which it is known when it is sent again
	Base   uint64 `json:"base"`   // the version of the configuration that it builds on
	Update bool   `json:"update,omitempty"`
	Body   []byte `json:"-"`
}

// TableChange changes the cluster table and the retire jobs. It is without effect unless the table still has the
// revision it builds on.
type TableChange struct {
	ID string `json:"id"` // unique, so that its proposer sees whether it took effect
	cluster.TableChange
	Jobs []RetireJob `json:"jobs,omitempty"`
}

// Encode returns the record of a change.
func (c *Change) Encode() ([]byte, error) {
	line, err := json.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	record := append(line, '\n')
	if c.Config != nil {
		record = append(record, c.Config.Body...)
	}
	return record, nil
}

// DecodeChange reads a record. The change does not refer to the record's memory.
func DecodeChange(record []byte) (*Change, error) {
	line, body, found := bytes.Cut(record, []byte{'\n'})
	if !found {
		return nil, trace.BadParameter("record of a change has no end of its line")
	}
	decoded := &Change{}
	if err := json.Unmarshal(line, decoded); err != nil {
		return nil, trace.Wrap(err)
	}
	if decoded.Config != nil {
		decoded.Config.Body = bytes.Clone(body)
	}
	return decoded, nil
}
