package operatorapi

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestMessagesKeepTheirBytes encodes the bodies of responses to the operator. The golden file was written once, by the
// flag -update, and is never edited.
func TestMessagesKeepTheirBytes(t *testing.T) {
	findings := []findingBody{{Place: "routes[0]", Problem: "no name"}, {Problem: "no version"}}
	var lines []byte
	for _, message := range []any{
		errorBody{Error: "the configuration is invalid", Findings: findings},
		errorBody{Error: "no such call"},
		retireState{State: retireRunning},
		retireState{State: retireCompleted},
	} {
		line, err := json.Marshal(message)
		assert.NilError(t, err)
		lines = append(append(lines, line...), '\n')
	}
	golden.AssertBytes(t, lines, "messages")
}
