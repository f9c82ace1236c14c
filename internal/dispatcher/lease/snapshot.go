package lease

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// snapshot is the encoding of a whole table. Form is its version: 1.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Form    int
	Last    uint64
	Records []*Record
}

// Snapshot encodes the whole table. Equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Form: 1, Last: t.lastEpoch}
	for _, k := range sortedKeys(t.records) {
		s.Records = append(s.Records, t.records[k])
	}
	return cbor.Marshal(s)
}

// Restore replaces the content of the table by that of a snapshot. After an error the table is unchanged.
func (t *Table) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("lease: decoding a snapshot: %w", err)
	}
	if s.Form != 1 {
		return fmt.Errorf("lease: snapshot has version %d, want 1", s.Form)
	}
	restored := New()
	restored.lastEpoch = s.Last
	for _, r := range s.Records {
		if r == nil || r.State < Owned || r.State > Ended || restored.records[r.Key] != nil {
			return errors.New("lease: snapshot has a missing, duplicate or invalid record")
		}
		restored.records[r.Key] = r
		if r.State == Owned || r.State == SendIntended {
			restored.setOwner(r, r.Owner)
		} else {
			restored.scheduleExpiry(r)
		}
	}
	*t = *restored
	return nil
}
