package messagestore

import (
	"cmp"
	"encoding/json"
	"os"
	"path"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
	"gladepick/internal/vfs/memfs"
	"gladepick/internal/wal"
)

// The files under testdata/golden were written by the first version whose data later versions must read. Every later
// version must load them with the recorded result, and must write the same bytes for the same steps. The command
//
//	go test ./internal/messagestore -run TestGolden -update
//
// writes them. They may change only if later versions can still read data of earlier ones.

var goldenTime = time.Date(2026, time.March, 4, 5, 6, 7, 89_000_000, time.UTC)

// goldenMessage returns a message with a value in every field.
func goldenMessage() *message.Message {
	return &message.Message{
		ID: "1-00000000000000ab", Partition: 1, Sequence: 3<<epochShift + 7, Route: "orders", Host: "example.org",
		Method: "POST", Target: "/orders?id=7&x=%20", RequestID: "request-1", OrderKey: "customer-9",
		ContentType: "application/json", ConfigVersion: 12, DueAt: goldenTime, ExpiresAt: goldenTime.Add(time.Hour),
	}
}

// goldenEntry is the recorded state of a message.
type goldenEntry struct {
	ID       string           `json:"id"`
	Message  *message.Message `json:"message"`
	Position wal.Position     `json:"position"`
	Failures int              `json:"failures"`
	Outcome  message.Outcome  `json:"outcome"`
	EndedAt  time.Time        `json:"endedAt"`
	Body     string           `json:"body"` // empty if it is no longer needed
}

// goldenPartition is the recorded state of a partition.
type goldenPartition struct {
	ID      int           `json:"id"`
	Epoch   uint64        `json:"epoch"`
	Last    uint64        `json:"last"`
	Entries []goldenEntry `json:"entries"`
}

// goldenState is the recorded state of a store after Open, with the messages that it submits once it is primary again.
type goldenState struct {
	Partitions []goldenPartition `json:"partitions"`
	Submitted  []string          `json:"submitted"`
}

// useUTC sets the local time zone to UTC, so that times are encoded alike on all machines.
func useUTC(t *testing.T) {
	local := time.Local
	time.Local = time.UTC
	t.Cleanup(func() { time.Local = local })
}

func openGoldenStore(t *testing.T, disk *memfs.Disk) (*Store, *testEngine) {
	t.Helper()
	store, err := Open(Options{
		Name: "a", DiskID: "disk-a", FS: disk.Mount(), Server: rpc.NewServer(zap.NewNop()),
		Control: &machineControl{harness: &harness{}, machine: &machine{}}, Logger: zap.NewNop(), ReplicationFactor: 1,
		StatusRetention: time.Hour, CacheBytes: 1 << 20,
	})
	assert.NilError(t, err)
	engine := &testEngine{}
	store.Start(engine)
	return store, engine
}

// putGolden stores a message by a put to the store.
func putGolden(t *testing.T, store *Store, partition int, id, body string) {
	t.Helper()
	submission := message.Submission{DelayMS: 250, RetentionMS: 90_000, Message: message.Message{
		Partition: partition, ID: id, Route: "orders", Host: "example.org", Method: "POST", Target: "/" + id, RequestID: "r-" + id,
	}}
	params, err := json.Marshal(protocol.PutRequest{Submission: submission})
	assert.NilError(t, err)
	_, _, err = store.handlePut(t.Context(), &rpc.Call{Method: protocol.MethodPut, Params: params, Body: []byte(body)})
	assert.NilError(t, err)
	time.Sleep(10 * time.Millisecond)
}

func submittedTo(t *testing.T, engine *testEngine, id string) *message.Message {
	t.Helper()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for _, m := range engine.submitted {
		if m.ID == id {
			return m
		}
	}
	t.Fatalf("message %s was not submitted", id)
	return nil
}

// writeGoldenStore writes the disk of a store that is the primary of two partitions. Its messages are queued, with and
// without failed attempts, completed, or dead letters.
func writeGoldenStore(t *testing.T, disk *memfs.Disk) {
	store, engine := openGoldenStore(t, disk)
	store.ApplyTable(tableWithPrimaries(1, "a", "a"))
	putGolden(t, store, 0, "0-0000000000000001", "first body")
	putGolden(t, store, 1, "1-0000000000000002", "")
	putGolden(t, store, 0, "0-0000000000000003", strings.Repeat("long body ", 40))
	putGolden(t, store, 1, "1-0000000000000004", "fails\n\x00")
	putGolden(t, store, 0, "0-0000000000000005", "ends as a dead letter")
	store.Failed(submittedTo(t, engine, "1-0000000000000004"), 1)
	store.Failed(submittedTo(t, engine, "0-0000000000000005"), 1)
	store.Failed(submittedTo(t, engine, "1-0000000000000004"), 2)
	store.Ended(submittedTo(t, engine, "0-0000000000000001"), message.Outcome{State: message.Completed, Stamp: "stamp-1"})
	time.Sleep(time.Second)
	store.Ended(submittedTo(t, engine, "0-0000000000000005"), message.Outcome{State: message.DeadLetter})
	assert.NilError(t, store.Close())
}

// writeGoldenSnapshot extends the disk of writeGoldenStore by a higher epoch, a snapshot of the index, and more
// messages.
func writeGoldenSnapshot(t *testing.T, disk *memfs.Disk) {
	writeGoldenStore(t, disk)
	store, engine := openGoldenStore(t, disk)
	store.ApplyTable(tableWithPrimaries(2, "a", "a"))
	assert.NilError(t, store.writeSnapshot())
	putGolden(t, store, 0, "0-0000000000000006", "behind the snapshot")
	store.Ended(submittedTo(t, engine, "1-0000000000000002"), message.Outcome{State: message.Completed})
	assert.NilError(t, store.Close())
}

func readWholeFile(t *testing.T, disk vfs.FS, name string) []byte {
	t.Helper()
	file, err := disk.Open(name)
	assert.NilError(t, err)
	size, err := file.Size()
	assert.NilError(t, err)
	data := make([]byte, size)
	_, err = file.ReadAt(data, 0)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return data
}

// loadGoldenDisk returns a disk with the recorded files.
func loadGoldenDisk(t *testing.T, folder string) *memfs.Disk {
	t.Helper()
	disk := memfs.New(1)
	entries, err := os.ReadDir(golden.Path(folder))
	assert.NilError(t, err)
	for _, entry := range entries {
		file, err := disk.Create(entry.Name())
		assert.NilError(t, err)
		_, err = file.WriteAt(golden.Get(t, path.Join(folder, entry.Name())), 0)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
	}
	return disk
}

// snapshotOf decodes a snapshot of the index and sorts its partitions and entries by ID.
func snapshotOf(t *testing.T, disk vfs.FS, name string) []snapshotPartition {
	t.Helper()
	data, err := wal.LoadFile(disk, name)
	assert.NilError(t, err)
	var all []snapshotPartition
	assert.NilError(t, json.Unmarshal(data, &all))
	slices.SortFunc(all, func(a, b snapshotPartition) int { return cmp.Compare(a.ID, b.ID) })
	for _, one := range all {
		slices.SortFunc(one.Entries, func(a, b snapshotEntry) int { return cmp.Compare(a.ID, b.ID) })
	}
	return all
}

// compareGoldenDisk compares a disk with the recorded files: segments byte by byte, snapshots by their decoded content,
// as the order of entries in a snapshot is unspecified.
func compareGoldenDisk(t *testing.T, written *memfs.Disk, folder string) {
	t.Helper()
	names, err := written.List()
	assert.NilError(t, err)
	for _, name := range names {
		if strings.HasPrefix(name, "segment-") || golden.FlagUpdate() {
			golden.AssertBytes(t, readWholeFile(t, written, name), path.Join(folder, name))
		}
	}
	recorded := loadGoldenDisk(t, folder)
	recordedNames, err := recorded.List()
	assert.NilError(t, err)
	slices.Sort(names)
	slices.Sort(recordedNames)
	assert.DeepEqual(t, names, recordedNames)
	for _, name := range names {
		if strings.HasPrefix(name, "snapshot-") {
			assert.DeepEqual(t, snapshotOf(t, written, name), snapshotOf(t, recorded, name))
		}
	}
}

// stateOfStore returns the partitions and messages of a store, sorted by ID.
func stateOfStore(t *testing.T, store *Store) []goldenPartition {
	t.Helper()
	var all []goldenPartition
	for id, p := range store.partitions {
		one := goldenPartition{ID: id, Epoch: p.epoch, Last: p.lastSequence}
		for id, each := range p.entries {
			held := goldenEntry{
				ID: id, Message: each.message, Position: each.position, Failures: each.failures, Outcome: each.outcome,
				EndedAt: each.endedAt,
			}
			if each.needsBody() {
				body, err := store.readBody(each.position)
				assert.NilError(t, err)
				held.Body = string(body)
			}
			one.Entries = append(one.Entries, held)
		}
		slices.SortFunc(one.Entries, func(a, b goldenEntry) int { return cmp.Compare(a.ID, b.ID) })
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b goldenPartition) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// TestGoldenStores guards against changes of the format on the disk. It writes the recorded steps to a new disk and
// compares the files, and opens the recorded files and compares the state.
func TestGoldenStores(t *testing.T) {
	cases := map[string]func(t *testing.T, disk *memfs.Disk){
		"log":      writeGoldenStore,
		"snapshot": writeGoldenSnapshot,
	}
	for name, write := range cases {
		t.Run(name, func(t *testing.T) {
			useUTC(t)
			synctest.Test(t, func(t *testing.T) {
				disk := memfs.New(1)
				write(t, disk)
				folder := path.Join("golden", "stores", name, "files")
				compareGoldenDisk(t, disk, folder)

				store, engine := openGoldenStore(t, loadGoldenDisk(t, folder))
				state := goldenState{Partitions: stateOfStore(t, store)}
				store.ApplyTable(tableWithPrimaries(3, "a", "a"))
				state.Submitted = engine.ids()
				assert.NilError(t, store.Close())
				encoded, err := json.MarshalIndent(state, "", "  ")
				assert.NilError(t, err)
				golden.AssertBytes(t, encoded, path.Join("golden", "stores", name, "state.json"))
			})
		})
	}
}

// TestGoldenSnapshot guards against changes of the snapshot's encoding: it encodes an index as the recorded bytes, and
// restores a store from them.
func TestGoldenSnapshot(t *testing.T) {
	snapshot := []snapshotPartition{
		{ID: 0, Epoch: 2, Last: 2<<epochShift + 5, Entries: []snapshotEntry{
			{ID: "0-1", Position: wal.Position{Segment: 1, Offset: 32, Length: 99}, Outcome: message.Outcome{
				State: message.Completed, Stamp: "stamp",
			}, EndedAt: goldenTime},
			{ID: "0-2", Message: goldenMessage(), Position: wal.Position{Segment: 2, Offset: 400, Length: 9}, Failures: 1,
				Outcome: message.Outcome{State: message.DeadLetter}, EndedAt: goldenTime},
		}},
		{ID: 1, Epoch: 3, Entries: []snapshotEntry{{
			ID: "1-1", Message: goldenMessage(), Position: wal.Position{Segment: 1, Offset: 150, Length: 77},
			Outcome: message.Outcome{State: message.Queued},
		}}},
		{ID: 2},
	}
	encoded, err := json.Marshal(snapshot)
	assert.NilError(t, err)
	file := path.Join("golden", "snapshot.json")
	golden.AssertBytes(t, encoded, file)

	store := &Store{partitions: make(map[int]*partition)}
	assert.NilError(t, store.restore(golden.Get(t, file)))
	assert.Equal(t, len(store.partitions), len(snapshot))
	for _, one := range snapshot {
		p := store.partitions[one.ID]
		assert.Equal(t, p.epoch, one.Epoch)
		assert.Equal(t, p.lastSequence, one.Last)
		assert.Equal(t, len(p.entries), len(one.Entries))
		for _, want := range one.Entries {
			got := p.entries[want.ID]
			assert.DeepEqual(t, got.message, want.Message)
			assert.Equal(t, got.position, want.Position)
			assert.Equal(t, got.failures, want.Failures)
			assert.Equal(t, got.outcome, want.Outcome)
			assert.Assert(t, got.endedAt.Equal(want.EndedAt))
		}
	}
}
