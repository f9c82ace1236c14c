package record

import (
	"path"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/message"
)

// The files under testdata/golden were written by the first version whose encoding later versions must keep. The flag
// -update rewrites them. These bytes are stored on the disks of stores.

var goldenTime = time.Date(2026, time.March, 4, 5, 6, 7, 89_000_000, time.UTC)

// goldenMessage returns a message with a value in every field.
func goldenMessage() *message.Message {
	return &message.Message{
		ID: "1-00000000000000ab", Partition: 1, Sequence: 3<<32 + 7, Route: "orders", Host: "example.org",
		Method: "POST", Target: "/orders?id=7&x=%20", RequestID: "request-1", OrderKey: "customer-9",
		ContentType: "application/json", ConfigVersion: 12, DueAt: goldenTime, ExpiresAt: goldenTime.Add(time.Hour),
	}
}

// TestGoldenRecords guards against changes of the encoding: it encodes a record of each kind as the recorded bytes, and
// decodes them.
func TestGoldenRecords(t *testing.T) {
	cases := map[string]struct {
		record Record
		body   string
	}{
		"accepted": {Record{Kind: Accepted, Partition: 1, Epoch: 3, Message: goldenMessage()}, "the body\n\x00\xff"},
		"accepted-with-failures": {
			Record{Kind: Accepted, Partition: 1, Epoch: 3, Message: goldenMessage(), Failures: 2}, "",
		},
		"accepted-with-little": {Record{Kind: Accepted, Message: &message.Message{ID: "0-1"}}, "x"},
		"failed":               {Record{Kind: Failed, Partition: 1, Epoch: 3, ID: "1-00000000000000ab", Failures: 2}, ""},
		"ended-completed": {Record{
			Kind: Ended, Partition: 1, Epoch: 3, ID: "1-00000000000000ab",
			Outcome: &message.Outcome{State: message.Completed, Stamp: "stamp"}, EndedAt: goldenTime,
		}, ""},
		"ended-dead-letter": {Record{
			Kind: Ended, Partition: 1, Epoch: 3, ID: "1-00000000000000ab",
			Outcome: &message.Outcome{State: message.DeadLetter}, EndedAt: goldenTime,
		}, ""},
		"epoch":   {Record{Kind: Epoch, Partition: 1, Epoch: 3}, ""},
		"forget":  {Record{Kind: Forget, Partition: 1, Epoch: 3}, ""},
		"settled": {Record{Kind: Settled, Partition: 1, Epoch: 3}, ""},
		"dropped": {Record{Kind: Dropped, Partition: 1, Epoch: 3, ID: "1-00000000000000ab"}, ""},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			line, err := each.record.Encode()
			assert.NilError(t, err)
			file := path.Join("golden", name)
			golden.AssertBytes(t, append(line, each.body...), file)
			decoded, body, err := Decode(golden.Get(t, file))
			assert.NilError(t, err)
			assert.DeepEqual(t, *decoded, each.record)
			assert.Equal(t, string(body), each.body)
		})
	}
}
