package raftgroup

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// TestGoldenBytes guards against changes of the encoding of frames, log entries and snapshots, which nodes of different
// versions exchange. The expected bytes were written by earlier versions and are never edited to get a pass.
func TestGoldenBytes(t *testing.T) {
	voters := []Voter{{ID: 8, Host: NodeID{Name: "n1", Incarnation: 9}}}
	for _, test := range []struct {
		name  string
		value any
		want  string
	}{
		{
			"frame",
			frame{Kind: redirectFrame, Group: 3, Assignment: 4, Incarnation: 5, VoterID: 6, ID: 7, Data: []byte("data"), Voters: voters},
			"88040304050607446461746181820882626e3109",
		},
		{"log entry", logEntry{ID: 2, Data: []byte("command")}, "820247636f6d6d616e64"},
		{"group state", groupState{Voters: voters, State: []byte("state")}, "8281820882626e3109457374617465"},
		{"assignment", Assignment{ID: 1, Groups: 2, Replicas: 3, InitialVoters: [][]Voter{voters, {}}}, "840102038281820882626e310980"},
	} {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := cbor.Marshal(test.value)
			assert.NilError(t, err)
			assert.Equal(t, hex.EncodeToString(encoded), test.want)
		})
	}
}

// TestFrameKindsKeepTheirNumbers guards against renumbered frame kinds: nodes of different versions exchange the
// numbers.
func TestFrameKindsKeepTheirNumbers(t *testing.T) {
	for i, kind := range []frameKind{
		raftFrame, proposeFrame, resultFrame, redirectFrame, assignmentFrame, queryFrame, queryResultFrame, removedFrame,
	} {
		assert.Equal(t, int(kind), i+1)
	}
}
