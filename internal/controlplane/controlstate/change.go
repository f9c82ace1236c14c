package controlstate

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
)

// Change is one record of the replicated log. Exactly one field is set. The record is a line of JSON. In the record of
// a configuration change, the operator's body follows the line byte for byte.
type Change struct {
	Config *ConfigChange `json:"order,omitempty"`
	Table  *TableChange  `json:"table,omitempty"`
}

// ConfigChange is an accepted configuration request: an operator's request that replaces or updates the configuration.
// It has no effect unless the configuration still has version Base when the change is applied.
type ConfigChange struct {
	Digest string `json:"digest"` // digest of the request; identifies it when it is sent again
	Base   uint64 `json:"base"`   // version of the configuration that the request is based on
	Update bool   `json:"update,omitempty"`
	Body   []byte `json:"-"`
}

// TableChange changes the cluster table and the retire jobs. It has no effect unless the table still has revision Base
// when the change is applied.
type TableChange struct {
	ID string `json:"id"` // unique, so that the proposer can tell whether the change took effect
	cluster.TableChange
	Jobs []RetireJob `json:"jobs,omitempty"`
}

// Encode returns the log record of the change.
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

// DecodeChange decodes a log record. The change does not share the record's memory.
func DecodeChange(record []byte) (*Change, error) {
	line, body, found := bytes.Cut(record, []byte{'\n'})
	if !found {
		return nil, trace.BadParameter("change record has no newline after its JSON line")
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
