package durablejobs

import (
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/lease"
)

// TestGoldenBytes guards against changes of the encodings that dispatchers of different versions exchange.
func TestGoldenBytes(t *testing.T) {
	stored := storedJob{
		ID: "a1", Key: "k1", Target: "/enrol?x=1", Header: []dispatch.HeaderField{{Name: "X-One", Value: "1"}, {Name: "X-Two", Value: "2"}}, Body: []byte("body"),
		Class: "enrol", Tenant: "t1", AffinityKey: 77, Retry: true, Slots: 2, Memory: 0.5,
	}
	greeting := greeting{Form: 1, Name: "n1", Incarnation: 9, StartedAt: 123456789, Assignment: 5, Leaving: true}
	answer := queryAnswer{Found: true, Record: lease.Record{Key: "enrol/k1", State: lease.Ended, Owner: "n1.3", Epoch: 4, Result: []byte("ok")}}
	for _, test := range []struct {
		name string
		got  []byte
		want string
	}{
		{"stored job", encode(stored), "8b626131626b316a2f656e726f6c3f783d3182a2644e616d6565582d4f6e656556616c75656131a2644e616d6565582d54776f6556616c7565613244626f647965656e726f6c627431184df5fb4000000000000000fb3fe0000000000000"},
		{"greeting", frame(greetingFrameKind, encode(greeting)), "0000000d018601626e31091a075bcd1505f5"},
		{"replica frame", frame(replicaFrameKind, []byte("raft")), "000000040272616674"},
		{"answer to a query", encode(answer), "82f58d68656e726f6c2f6b3104646e312e33048600f400000000f6000000000000426f6b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, hex.EncodeToString(test.got), test.want)
		})
	}
}
