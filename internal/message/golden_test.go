package message_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/message"
)

// The golden files under testdata have the encoding that stores write to disk and that processes send to each other.
// Every later version must read and write the same bytes. The flag -update writes the files; they are never edited by
// hand.

// completeMessage has a value in every field.
func completeMessage() message.Message {
	return message.Message{
		ID:            "7-1c",
		Partition:     7,
		Sequence:      1<<64 - 1,
		Route:         "r-orders",
		Host:          "Shop.example:8080",
		Method:        "POST",
		Target:        "/orders/a%2Fb//c;x?q=1&q=%20<>",
		RequestID:     "request \"ü\"",
		OrderKey:      "key",
		ContentType:   "text/x",
		ConfigVersion: 12,
		DueAt:         time.Date(2026, 3, 4, 5, 6, 7, 890_000_001, time.UTC),
		ExpiresAt:     time.Date(2026, 3, 4, 5, 7, 37, 0, time.FixedZone("", 2*60*60)),
	}
}

func TestGoldenJSON(t *testing.T) {
	assertGolden(t, "message.json", completeMessage())
	assertGolden(t, "message-empty.json", message.Message{})
	assertGolden(t, "submission.json", message.Submission{Message: completeMessage(), DelayMS: 1500, RetentionMS: 90_000})
	assertGolden(t, "submission-empty.json", message.Submission{})
	assertGolden(t, "outcome-completed.json", message.Outcome{State: message.Completed, Stamp: "3e.1"})
	assertGolden(t, "outcome-dead-letter.json", message.Outcome{State: message.DeadLetter})
	assertGolden(t, "outcome-queued.json", message.Outcome{State: message.Queued})
}

// TestTextsThatAreNotUTF8AreKept guards against order keys, request IDs and targets that reach the worker changed. The file
// is that of the first version that keeps them.
func TestTextsThatAreNotUTF8AreKept(t *testing.T) {
	exact := completeMessage()
	exact.Target, exact.RequestID, exact.OrderKey, exact.ContentType = "/a\xff", "r\xfc", "k\xe9y", "text/x; c=\xe4"
	want := exact
	exact.KeepExactText()
	encoded, err := json.Marshal(exact)
	assert.NilError(t, err)
	golden.AssertBytes(t, encoded, "message-exact.json")
	var read message.Message
	assert.NilError(t, json.Unmarshal(golden.Get(t, "message-exact.json"), &read))
	read.RestoreExactText()
	assert.DeepEqual(t, read, exact)
	read.Exact = nil
	assert.DeepEqual(t, read, want)
}

// assertGolden checks that a value is encoded as the golden file, and that the golden file is decoded to the value and
// encoded again without a change.
func assertGolden[Value any](t *testing.T, file string, value Value) {
	t.Helper()
	encoded, err := json.Marshal(value)
	assert.NilError(t, err)
	golden.AssertBytes(t, encoded, file)

	var read Value
	assert.NilError(t, json.Unmarshal(golden.Get(t, file), &read))
	assert.DeepEqual(t, read, value)
	again, err := json.Marshal(read)
	assert.NilError(t, err)
	golden.AssertBytes(t, again, file)
}
