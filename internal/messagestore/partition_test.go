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
