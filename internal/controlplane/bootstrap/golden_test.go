package bootstrap

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/controlplane/replication"
)

// TestMessagesKeepTheirBytes encodes the argument of MethodBootstrap. The golden file was written once, by the flag
// -update, and is never edited.
func TestMessagesKeepTheirBytes(t *testing.T) {
	var members []replication.Member
	for i := range 3 {
		members = append(members, replication.Member{
			Name: fmt.Sprintf("front-%d", i), Address: fmt.Sprintf("10.0.0.%d:7240", i), DiskID: fmt.Sprintf("disk-m%d", i),
		})
	}
	line, err := json.Marshal(bootstrapRequest{Members: members})
	assert.NilError(t, err)
	golden.AssertBytes(t, append(line, '\n'), "messages")
}
