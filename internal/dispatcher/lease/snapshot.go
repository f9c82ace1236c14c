package lease

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// snapshot is the form in which a table is copied whole. Form 1 is the first.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	Form    int
	Last    uint64
	Records []*Record
}

// Snapshot writes the whole table; equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Form: 1, Last: t.lastEpoch}
	for _, k := range sortedKeys(t.records) {
		s.Records = append(s.Records, t.records[k])
	}
	return cbor.Marshal(s)
}

// Restore puts a table in the place of what this one held. After an error it holds what it held before.
func (t *Table) Restore(data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("lease: snapshot: %w", err)
	}
	if s.Form != 1 {
		return fmt.Errorf("lease: snapshot: form %d, and 1 is known", s.Form)
	}
	fresh := New()
	fresh.lastEpoch = s.Last
	for _, r := range s.Records {
		if r == nil || r.State < Owned || r.State > Ended || fresh.records[r.Key] != nil {
			return errors.New("lease: snapshot: a record that cannot be")
		}
		fresh.records[r.Key] = r
		if r.State == Owned || r.State == SendIntended {
			fresh.setOwner(r, r.Owner)
		} else {
			fresh.scheduleExpiry(r)
		}
	}
	*t = *fresh
	return nil
}
