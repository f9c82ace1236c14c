package lease

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/cluster"
)

// TestMessagesKeepTheirBytes encodes the renewals that a backup forwards to the primary. The golden file was written
// once, by the flag -update, and is never edited.
func TestMessagesKeepTheirBytes(t *testing.T) {
	node := &cluster.NodeInfo{
		Name: "store-0", Class: "store", Zone: "zone-0", Address: "10.0.1.1:7240", Incarnation: "first", DiskID: "disk-0", Store: true,
	}
	var lines []byte
	for _, message := range []any{
		[]Renewal{{Node: node, AgeMS: 12}, {Name: "store-1", Incarnation: "second", AgeMS: 7}},
	} {
		line, err := json.Marshal(message)
		assert.NilError(t, err)
		lines = append(append(lines, line...), '\n')
	}
	golden.AssertBytes(t, lines, "messages")
}
