package protocol

import (
	"encoding/json"
	"path"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/message"
)

// The files under testdata/golden were written by the first version whose encoding later versions must keep. The flag
// -update rewrites them. Processes of other versions read and write these bytes.

var goldenTime = time.Date(2026, time.March, 4, 5, 6, 7, 89_000_000, time.UTC)

// goldenMessage returns a message with a value in every field.
func goldenMessage() *message.Message {
	return &message.Message{
		ID: "1-00000000000000ab", Partition: 1, Sequence: 3<<32 + 7, Route: "orders", Host: "example.org",
		Method: "POST", Target: "/orders?id=7&x=%20", RequestID: "request-1", OrderKey: "customer-9",
		ContentType: "application/json", ConfigVersion: 12, DueAt: goldenTime, ExpiresAt: goldenTime.Add(time.Hour),
	}
}

// TestGoldenCalls guards against changes of the wire format: it encodes the parameters and results of each call as the
// recorded bytes, and decodes them.
func TestGoldenCalls(t *testing.T) {
	checkCall(t, "put", PutRequest{Submission: message.Submission{Message: *goldenMessage(), DelayMS: 1500, RetentionMS: 90_000}})
	checkCall(t, "put-with-little", PutRequest{})
	checkCall(t, "query", QueryRequest{Partition: 1, ID: "1-00000000000000ab"})
	checkCall(t, "state", message.Outcome{State: message.Completed, Stamp: "stamp"})
	checkCall(t, "state-queued", message.Outcome{State: message.Queued})
	checkCall(t, "replicate", ReplicateRequest{
		From: "store-a", TargetDiskID: "disk-b", WantsLease: true, LeaseGrantsMS: 700,
		Records: []RecordHeader{{Partition: 1, Epoch: 3, Length: 120}, {Partition: 2, Epoch: 4}},
	})
	checkCall(t, "replicate-with-little", ReplicateRequest{From: "store-a", TargetDiskID: "disk-b"})
	checkCall(t, "replicated", ReplicateResponse{Rejected: []int{1, 2}})
	checkCall(t, "replicated-all", ReplicateResponse{})
	checkCall(t, "inventory", InventoryRequest{TargetDiskID: "disk-b", Partition: 1, Epoch: 3})
	checkCall(t, "inventory-answer", InventoryResponse{Queued: []string{"1-1", "1-2"}, Ended: []string{"1-3"}})
	checkCall(t, "inventory-empty", InventoryResponse{})
	checkCall(t, "inventory-details", InventoryRequest{
		TargetDiskID: "disk-b", Partition: 1, Epoch: 3, From: "store-a", WantsDetails: true,
	})
	checkCall(t, "inventory-details-of", InventoryRequest{
		TargetDiskID: "disk-b", Partition: 1, Epoch: 3, From: "store-a", WantsDetails: true, DetailsOf: []string{"1-1"},
	})
	checkCall(t, "inventory-details-answer", InventoryResponse{
		Queued: []string{"1-1", "1-2"}, Ended: []string{"1-3"},
		Outcomes: map[string]EndedMessage{
			"1-3": {Outcome: message.Outcome{State: message.Completed, Stamp: "stamp"}, EndedAt: goldenTime},
		},
		Failures: map[string]int{"1-2": 2}, LeaseGrantsMS: 700,
	})
	checkCall(t, "outcome", OutcomeRequest{Partition: 1, ID: "1-1", Outcome: message.Outcome{State: message.DeadLetter}})

	checkCall(t, "records", RecordsRequest{TargetDiskID: "disk-b", Partition: 1, Epoch: 3, IDs: []string{"1-1", "1-2"}})
	checkCall(t, "records-answer", RecordsResponse{Records: []RecordHeader{{Partition: 1, Epoch: 3, Length: 120}}, Handled: 2})

	methods := []string{MethodPut, MethodState, MethodBody, MethodReplicate, MethodInventory, MethodOutcome}
	golden.AssertBytes(t, []byte(strings.Join(methods, "\n")+"\n"), path.Join("golden", "methods"))
	golden.AssertBytes(t, []byte(MethodRecords+"\n"), path.Join("golden", "methods-added"))
}

func checkCall[Message any](t *testing.T, name string, value Message) {
	t.Run(name, func(t *testing.T) {
		encoded, err := json.Marshal(value)
		assert.NilError(t, err)
		file := path.Join("golden", name+".json")
		golden.AssertBytes(t, encoded, file)
		var decoded Message
		assert.NilError(t, json.Unmarshal(golden.Get(t, file), &decoded))
		assert.DeepEqual(t, decoded, value)
	})
}
