package messagestore

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/record"
	"gladepick/internal/wal"
)

func FuzzDecodeRecord(f *testing.F) {
	line, err := (&record.Record{Kind: record.Accepted, Message: &message.Message{ID: "1-2"}}).Encode()
	assert.NilError(f, err)
	f.Add(append(line, "body"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, _, err := record.Decode(data)
		if err == nil {
			newPartition(0).apply(decoded, wal.Position{})
		}
	})
}

// TestDroppedRecordSparesWhatWasAcceptedUnderItsEpoch guards against a late record that drops a message which the primary
// has accepted again since, and against one that drops an outcome.
func TestDroppedRecordSparesWhatWasAcceptedUnderItsEpoch(t *testing.T) {
	acceptedUnder := func(epoch uint64) *record.Record {
		return &record.Record{Kind: record.Accepted, Epoch: epoch, Message: &message.Message{ID: "m", Sequence: epoch<<epochShift + 1}}
	}
	completed := &record.Record{Kind: record.Ended, ID: "m", Outcome: &message.Outcome{State: message.Completed}}
	dropped := &record.Record{Kind: record.Dropped, Epoch: 3, ID: "m"}
	cases := map[string]struct {
		records []*record.Record
		stays   bool
	}{
		"accepted under an earlier epoch":          {[]*record.Record{acceptedUnder(2), dropped}, false},
		"accepted under the same epoch":            {[]*record.Record{acceptedUnder(3), dropped}, true},
		"accepted again under the same epoch":      {[]*record.Record{acceptedUnder(2), acceptedUnder(3), dropped}, true},
		"accepted again after it was dropped":      {[]*record.Record{acceptedUnder(2), dropped, acceptedUnder(3)}, true},
		"ended":                                    {[]*record.Record{acceptedUnder(2), completed, dropped}, true},
		"ended before its accepted record arrived": {[]*record.Record{completed, dropped}, true},
		"unknown": {[]*record.Record{dropped}, false},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPartition(0)
			for _, next := range each.records {
				p.apply(next, wal.Position{})
			}
			assert.Equal(t, p.entries["m"] != nil, each.stays)
		})
	}
}
