package replication

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

// The files under testdata were written by the first version that has these tests (`go test -update`) and are never
// edited: every later version has to read them and to write the same bytes.

const (
	goldenDisk       = "disk" // a disk with a log, a snapshot and a witness's record
	goldenTornDisk   = "torn" // the same disk with a truncated last record
	goldenSegment    = "segment-00000000000000000002"
	goldenSnapshot   = "snapshot-00000000000000000002"
	goldenRecords    = "records.bin"  // records as an append call carries them
	goldenMessages   = "messages.txt" // the messages, one on each line
	goldenTornBytes  = 3              // how many bytes of the last record are missing on the torn disk
	goldenFirstEpoch = 3
	goldenNextEpoch  = 1<<40 + 5
)

// goldenChanges are the changes on the golden disk. The first four are in its snapshot, the fourth not yet committed.
// The last two follow in its log.
var goldenChanges = []string{"first", "second \n", strings.Repeat("long ", 60), "", "\x00\xff binary", "last"}

func goldenView() View {
	return View{
		Epoch: 1<<63 + 7, Primary: "disk-a", InSync: []string{"disk-a", "disk-b"},
		Members: []Member{
			{Name: "member-a", Address: "10.0.0.1:7000", DiskID: "disk-a"},
			{Name: "member-b", Address: "10.0.0.2:7000", DiskID: "disk-b"},
		},
		Previous: []Member{{Name: "member-c", Address: "[fd00::3]:7000", DiskID: "disk-c"}},
	}
}

func directoryOf(t *testing.T, path string) vfs.FS {
	t.Helper()
	disk, err := vfs.OpenDirectory(path)
	assert.NilError(t, err)
	return disk
}

// openAt opens the replica in a directory.
func openAt(t *testing.T, path string) (*replica, *listMachine) {
	t.Helper()
	machine := &listMachine{}
	opened, err := openReplica(Options{FS: directoryOf(t, path), StateMachine: machine}.withDefaults())
	assert.NilError(t, err)
	return opened, machine
}

func closeLog(t *testing.T, opened *replica) {
	t.Helper()
	assert.NilError(t, opened.sync(context.Background()))
	assert.NilError(t, opened.log.Close())
}

// proposeAt proposes changes and returns their framed records.
func proposeAt(t *testing.T, at *replica, epoch uint64, changes ...string) []byte {
	t.Helper()
	var proposed [][]byte
	for _, change := range changes {
		proposed = append(proposed, []byte(change))
	}
	_, records, err := at.propose(epoch, proposed)
	assert.NilError(t, err)
	return records
}

// writeDisk writes the golden disk, and returns the records that follow its snapshot in the form of an append call.
func writeDisk(t *testing.T, path string) []byte {
	t.Helper()
	written, _ := openAt(t, path)
	_, err := written.beginEpoch(goldenFirstEpoch)
	assert.NilError(t, err)
	proposeAt(t, written, goldenFirstEpoch, goldenChanges[:4]...)
	attached, complete := written.commit(goldenFirstEpoch, 3)
	assert.Assert(t, attached && complete)
	assert.NilError(t, written.writeSnapshot())
	_, err = written.beginEpoch(goldenNextEpoch)
	assert.NilError(t, err)
	written.commit(goldenNextEpoch, 4)
	records := proposeAt(t, written, goldenNextEpoch, goldenChanges[4:]...)
	closeLog(t, written)
	writeWitness(t, directoryOf(t, path))
	return records
}

func writeWitness(t *testing.T, disk vfs.FS) {
	t.Helper()
	w, err := openWitness(disk)
	assert.NilError(t, err)
	accepted, err := w.accept(goldenView())
	assert.Assert(t, err == nil && accepted)
	promised, err := w.promise(goldenView().Epoch+1, "disk-b")
	assert.Assert(t, err == nil && promised)
}

// assertDisk compares all files of a directory with the golden ones.
func assertDisk(t *testing.T, path, name string) {
	t.Helper()
	assert.DeepEqual(t, namesIn(t, path), []string{goldenSegment, goldenSnapshot, witnessFile})
	for _, file := range namesIn(t, path) {
		contents, err := os.ReadFile(filepath.Join(path, file))
		assert.NilError(t, err)
		golden.AssertBytes(t, contents, filepath.Join(name, file))
	}
}

func namesIn(t *testing.T, path string) []string {
	t.Helper()
	entries, err := os.ReadDir(path)
	assert.NilError(t, err)
	var names []string
	for _, each := range entries {
		names = append(names, each.Name())
	}
	return names
}

// copyDisk returns a copy of a disk under testdata.
func copyDisk(t *testing.T, name string) string {
	t.Helper()
	path := t.TempDir()
	assert.NilError(t, os.CopyFS(path, os.DirFS(golden.Path(name))))
	return path
}

func TestGoldenDiskFormatIsUnchanged(t *testing.T) {
	path := t.TempDir()
	records := writeDisk(t, path)
	assertDisk(t, path, goldenDisk)
	golden.AssertBytes(t, records, goldenRecords)
	segment := filepath.Join(path, goldenSegment)
	info, err := os.Stat(segment)
	assert.NilError(t, err)
	assert.NilError(t, os.Truncate(segment, info.Size()-goldenTornBytes))
	assertDisk(t, path, goldenTornDisk)
}

func TestGoldenDiskIsReadable(t *testing.T) {
	path := copyDisk(t, goldenDisk)
	opened, machine := openAt(t, path)
	assert.DeepEqual(t, machine.list(), goldenChanges[:4])
	assert.Equal(t, opened.end(), position{Epoch: goldenNextEpoch, Index: 6})
	assert.Equal(t, opened.applied, position{Epoch: goldenFirstEpoch, Index: 4})
	var waiting []string
	for _, each := range opened.unapplied {
		waiting = append(waiting, string(each.Change))
	}
	assert.DeepEqual(t, waiting, goldenChanges[4:])
	closeLog(t, opened)
	assertDisk(t, path, goldenDisk)
}

func TestGoldenSnapshotFormatIsUnchanged(t *testing.T) {
	data, err := wal.LoadFile(directoryOf(t, copyDisk(t, goldenDisk)), goldenSnapshot)
	assert.NilError(t, err)
	decoded, err := decodeSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, decoded.applied, position{Epoch: goldenFirstEpoch, Index: 3})
	assert.Equal(t, decoded.last(), position{Epoch: goldenFirstEpoch, Index: 4})
	assert.Assert(t, bytes.Equal(decoded.encode(), data))
	machine := &listMachine{}
	assert.NilError(t, machine.Restore(decoded.state))
	assert.DeepEqual(t, machine.list(), goldenChanges[:3])
}

// TestGoldenTornLogIsReadUpToTheTornRecord checks that the torn record is dropped, and that the same change, proposed
// again, restores the whole log byte for byte.
func TestGoldenTornLogIsReadUpToTheTornRecord(t *testing.T) {
	path := copyDisk(t, goldenTornDisk)
	opened, machine := openAt(t, path)
	assert.DeepEqual(t, machine.list(), goldenChanges[:4])
	last, err := opened.beginEpoch(goldenNextEpoch)
	assert.NilError(t, err)
	assert.Equal(t, last, position{Epoch: goldenNextEpoch, Index: 5})
	proposeAt(t, opened, goldenNextEpoch, goldenChanges[5])
	closeLog(t, opened)
	assertDisk(t, path, goldenDisk)
}

func TestGoldenRecordFormatIsUnchanged(t *testing.T) {
	data := golden.Get(t, goldenRecords)
	entries, err := decodeEntries(data)
	assert.NilError(t, err)
	var again []byte
	for i, each := range entries {
		assert.Equal(t, each.position, position{Epoch: goldenNextEpoch, Index: uint64(5 + i)})
		assert.Equal(t, each.Commit, uint64(4))
		assert.Equal(t, string(each.Change), goldenChanges[4+i])
		again = appendFrame(again, each.encode(nil))
	}
	assert.Equal(t, len(entries), 2)
	assert.Assert(t, bytes.Equal(again, data))
}

func TestGoldenWitnessFormatIsUnchanged(t *testing.T) {
	path := copyDisk(t, goldenDisk)
	w, err := openWitness(directoryOf(t, path))
	assert.NilError(t, err)
	view := goldenView()
	assert.DeepEqual(t, w.record(), &witnessRecord{Promised: view.Epoch + 1, PromisedTo: "disk-b", Accepted: &view})
	assert.NilError(t, os.Remove(filepath.Join(path, witnessFile)))
	assert.NilError(t, w.save(w.record()))
	assertDisk(t, path, goldenDisk)
}

// goldenMessage is a message with every field set, and the call that carries it.
type goldenMessage struct {
	call string
	full any
}

func messagesOfEveryCall() []goldenMessage {
	view := goldenView()
	const epoch, commit, number = 1<<63 + 9, 1<<62 + 11, 1<<61 + 13
	last := position{Epoch: 1<<60 + 15, Index: 1<<59 + 17}
	return []goldenMessage{
		{methodPrepare + " request", prepareRequest{
			Target: "disk-b", Epoch: epoch, Candidate: "disk-a", View: view, PreVote: true, Bootstrap: true,
		}},
		{methodPrepare + " response", prepareResponse{Granted: true, Promised: epoch, Accepted: &view}},
		{methodAccept + " request", acceptRequest{Target: "disk-b", View: view, Bootstrap: true}},
		{methodAccept + " response", acceptResponse{Accepted: true, Promised: epoch}},
		{methodAttach + " request", attachRequest{
			Target: "disk-b", Epoch: epoch, Primary: "disk-a", Last: last, HasSnapshot: true,
		}},
		{methodAttach + " response", attachResponse{Attached: true, Promised: epoch}},
		{methodAppend + " request", appendRequest{
			Target: "disk-b", Epoch: epoch, Primary: "disk-a", After: last, Commit: commit,
		}},
		{methodAppend + " response", appendResponse{Attached: true, Promised: epoch}},
		{methodHeartbeat + " request", heartbeatRequest{
			Target: "disk-b", Epoch: epoch, Primary: "disk-a", Commit: commit, Leading: true, Echo: number,
		}},
		{methodHeartbeat + " response", heartbeatResponse{
			Supported: true, Promised: epoch, Accepted: commit, Attached: true, Number: number,
		}},
		{methodStatus + " response", statusResponse{DiskID: "disk-b", Leading: true, Epoch: epoch}},
		{"witness", witnessRecord{Promised: epoch, PromisedTo: "disk-b", Accepted: &view}},
	}
}

// TestGoldenMessageFormatIsUnchanged guards against messages that other versions can't read. It encodes each message
// with all fields set and with none, and decodes both.
func TestGoldenMessageFormatIsUnchanged(t *testing.T) {
	var lines bytes.Buffer
	for _, each := range messagesOfEveryCall() {
		assert.DeepEqual(t, unsetFields(reflect.ValueOf(each.full), each.call), []string(nil))
		empty := reflect.Zero(reflect.TypeOf(each.full)).Interface()
		for _, value := range []any{each.full, empty} {
			encoded, err := json.Marshal(value)
			assert.NilError(t, err)
			lines.WriteString(each.call + "\t" + string(encoded) + "\n")
		}
	}
	golden.AssertBytes(t, lines.Bytes(), goldenMessages)
	read := strings.Split(strings.TrimSuffix(string(golden.Get(t, goldenMessages)), "\n"), "\n")
	for i, each := range messagesOfEveryCall() {
		for _, line := range read[2*i : 2*i+2] {
			_, encoded, _ := strings.Cut(line, "\t")
			decoded := reflect.New(reflect.TypeOf(each.full))
			assert.NilError(t, json.Unmarshal([]byte(encoded), decoded.Interface()))
			again, err := json.Marshal(decoded.Interface())
			assert.NilError(t, err)
			assert.Equal(t, string(again), encoded)
		}
	}
	assert.Equal(t, len(read), 2*len(messagesOfEveryCall()))
}

// unsetFields returns the paths of the fields that have their zero value, in a value and in everything nested in it.
func unsetFields(value reflect.Value, path string) []string {
	if value.IsZero() {
		return []string{path}
	}
	var unset []string
	switch value.Kind() {
	case reflect.Pointer:
		return unsetFields(value.Elem(), path)
	case reflect.Slice:
		for i := range value.Len() {
			unset = append(unset, unsetFields(value.Index(i), path)...)
		}
	case reflect.Struct:
		for i := range value.NumField() {
			unset = append(unset, unsetFields(value.Field(i), path+"."+value.Type().Field(i).Name)...)
		}
	}
	return slices.Compact(unset)
}
