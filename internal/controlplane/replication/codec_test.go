package replication

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func drawEntry(t *rapid.T) entry {
	return entry{
		position: position{rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "index")},
		Commit:   rapid.Uint64().Draw(t, "commit"),
		Change:   rapid.SliceOf(rapid.Byte()).Draw(t, "change"),
	}
}

func sameEntry(one, other entry) bool {
	return one.position == other.position && one.Commit == other.Commit && bytes.Equal(one.Change, other.Change)
}

func TestImageSurvivesItsEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := snapshot{
			applied:   position{rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "index")},
			unapplied: rapid.SliceOf(rapid.Custom(drawEntry)).Draw(t, "tail"),
			state:     rapid.SliceOf(rapid.Byte()).Draw(t, "state"),
		}
		decoded, err := decodeSnapshot(original.encode())
		assert.NilError(t, err)
		assert.Equal(t, decoded.applied, original.applied)
		assert.Equal(t, decoded.last(), original.last())
		assert.Assert(t, bytes.Equal(decoded.state, original.state))
		assert.Equal(t, len(decoded.unapplied), len(original.unapplied))
		for i := range decoded.unapplied {
			assert.Assert(t, sameEntry(decoded.unapplied[i], original.unapplied[i]))
		}
	})
}

func TestCutEntriesAreRefused(t *testing.T) {
	whole := appendFrame(nil, entry{position: position{3, 4}, Commit: 2, Change: []byte("change")}.encode(nil))
	decoded, err := decodeEntries(append(bytes.Clone(whole), whole...))
	assert.NilError(t, err)
	assert.Equal(t, len(decoded), 2)
	for length := 1; length < len(whole); length++ {
		_, err := decodeEntries(whole[:length])
		assert.ErrorIs(t, err, errMalformed)
	}
}

func FuzzDecodeImage(f *testing.F) {
	f.Add(snapshot{unapplied: []entry{{Change: []byte("a")}}, state: []byte("state")}.encode())
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeSnapshot(data)
		_, _ = decodeEntries(data)
	})
}
