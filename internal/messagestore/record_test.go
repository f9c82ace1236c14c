package messagestore

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
	"gladepick/internal/wal"
)

func FuzzDecodeRecord(f *testing.F) {
	line, err := (&record{Kind: recordAccepted, Message: &message.Message{ID: "1-2"}}).encode()
	assert.NilError(f, err)
	f.Add(append(line, "body"...))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, _, err := decodeRecord(data)
		if err == nil {
			newPartition(0).apply(decoded, wal.Position{})
		}
	})
}
