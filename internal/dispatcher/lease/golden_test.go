package lease

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestGoldenBytes guards against changes of the encoding of commands, responses and snapshots, and of the responses
// themselves. Dispatchers of different versions exchange these bytes, so the recorded hash of a seeded sequence of
// commands is never edited.
func TestGoldenBytes(t *testing.T) {
	const want = "0c5db361be5177fc6b461dba9222eb46"
	digest := sha256.New()
	random := rand.New(rand.NewPCG(7, 7))
	table := New()
	for step := range 20000 {
		command := randomCommand(random, table, int64(step)*3)
		encoded, err := Encode(command)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil {
			t.Fatal(err)
		}
		response, err := Encode(table.Apply(decoded))
		if err != nil {
			t.Fatal(err)
		}
		digest.Write(encoded)
		digest.Write(response)
		if step%1000 == 0 {
			digest.Write(throughSnapshot(t, table))
		}
	}
	if got := hex.EncodeToString(digest.Sum(nil)[:16]); got != want {
		t.Errorf("the encoded commands, responses and snapshots have the hash %s, want %s", got, want)
	}
}

// throughSnapshot takes a snapshot of a table, restores the table from it, and returns the snapshot.
func throughSnapshot(t *testing.T, table *Table) []byte {
	t.Helper()
	snapshot, err := table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := table.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// randomCommand returns a command of a random owner. For an existing record, 7 of 10 commands come from its owner under
// its epoch.
func randomCommand(random *rand.Rand, table *Table, now int64) *Command {
	owner := func() string { return fmt.Sprintf("d%d", random.IntN(4)) }
	command := &Command{
		Kind: Kind(1 + random.IntN(6)), Key: fmt.Sprintf("k%d", random.IntN(60)), Owner: owner(), Epoch: uint64(random.IntN(400)),
		Time: now, Attempt: uint32(random.IntN(4)), Place: uint32(random.IntN(3)), NothingRan: random.IntN(2) == 0,
		Outcome: Outcome(1 + random.IntN(2)), Result: []byte(fmt.Sprintf("result %d", random.IntN(3))), Limit: random.IntN(6),
	}
	if record, found := table.Get(command.Key); found && random.IntN(10) < 7 {
		command.Owner, command.Epoch = record.Owner, record.Epoch
		command.Attempt = record.Attempt + uint32(random.IntN(2))
	}
	if command.Kind == Acquire {
		command.Job = []byte(fmt.Sprintf("job %d", random.IntN(9)))
		command.Terms = Terms{RetryWindow: int64(random.IntN(4000)), SamePlaceOnly: random.IntN(2) == 0, Deadline: now + int64(random.IntN(9000)),
			Retention: int64(random.IntN(6000)), MaxRecords: 40, RequestID: random.Uint64N(5)}
	}
	if random.IntN(2) == 0 {
		command.PreviousOwner = owner()
	}
	return command
}
