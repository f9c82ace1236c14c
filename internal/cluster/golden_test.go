package cluster

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/vfs"
)

// The files under testdata were written by the first version with these tests (`go test -update`). They must not
// change: every later version must read them and write the same bytes again.

const (
	goldenMessages = "messages.txt"   // messages and parts of the cluster table, one value a line
	goldenAdded    = "added.txt"      // the same with the fields that later versions have added
	goldenRetained = "retained.txt"   // the same with the fields of retained replicas
	goldenRenewal  = "renewal.txt"    // the same with the request for a new epoch
	goldenDisk     = "disk"           // a data directory that contains the file of the control group's members
	goldenBody     = "compressed.bin" // a compressed body
)

// goldenValue is a value with every field set, and its name in the golden file.
type goldenValue struct {
	name string
	full any
}

func goldenNode() NodeInfo {
	return NodeInfo{
		Name: "store-1", Class: "store", Zone: "zone-1", Region: "region-1", Address: "10.0.0.1:7240",
		Incarnation: "4f2a", DiskID: "disk-1", ControlEligible: true, Store: true, Draining: true, DiskFailing: true,
	}
}

func goldenMembers() []ControlMember {
	return []ControlMember{
		{Name: "front-1", Address: "10.0.0.2:7240", DiskID: "disk-2", Zone: "zone-2"},
		{Name: "front-2", Address: "[fd00::3]:7240", DiskID: "disk-3", Zone: "zone-3"},
	}
}

func goldenStores() []StoreEntry {
	var stores []StoreEntry
	for _, state := range []StoreState{StoreActive, StoreDown, StoreDraining, StoreRetiring, StoreRetired} {
		stores = append(stores, StoreEntry{
			Name: "store-1", Zone: "zone-1", Address: "10.0.0.1:7240", DiskID: "disk-1", Incarnation: "4f2a",
			State: state, Unresponsive: true,
		})
	}
	return stores
}

func goldenPartitions() []Partition {
	return []Partition{{
		ID: 17, Epoch: 1<<63 + 5,
		Replicas:         []Replica{{Store: "store-1", DiskID: "disk-1", Synced: true}},
		PreferredPrimary: "store-2",
	}}
}

func goldenTable() *Table {
	return &Table{
		Revision: 1<<63 + 7, Primary: "front-1", ControlGroup: goldenMembers(), Stores: goldenStores(),
		Partitions: goldenPartitions(), ReplicationFactor: 3, DeliveringStores: 4,
	}
}

func goldenTableChange() TableChange {
	return TableChange{
		Base: 1<<63 + 9, Primary: "front-2", ControlGroup: goldenMembers(), Stores: goldenStores(),
		Partitions: goldenPartitions(), ReplicationFactor: 5, DeliveringStores: 6,
	}
}

func goldenWorkers() []Worker {
	return []Worker{{
		ID: "i-1", Service: "mail", Address: "10.0.2.1:9000", Zone: "zone-1", Version: "v2", Capacity: 8,
		Draining: true, WarmupRemainingMS: 1500,
	}}
}

func goldenWorkerList() *WorkerList {
	return &WorkerList{Epoch: 1<<63 + 11, Revision: 1<<63 + 13, Workers: goldenWorkers(), ReadAt: time.Unix(1, 0)}
}

func goldenWorkerChange() WorkerChange {
	return WorkerChange{
		From: WorkerVersion{Epoch: 1<<63 + 15, Revision: 1<<63 + 17}, To: WorkerVersion{Epoch: 1<<63 + 19, Revision: 1<<63 + 21},
		Set: goldenWorkers(), Removed: []string{"i-2", "i-3"},
	}
}

func goldenValues() []goldenValue {
	return []goldenValue{
		{MethodRegister + " request", goldenNode()},
		{MethodControlGroup + " response", ControlGroupInfo{Members: goldenMembers(), Bootstrap: true}},
		{MethodAnnounce + " request", ControlGroupInfo{Members: goldenMembers(), Bootstrap: true}},
		{MethodPing + " response", PingResponse{Name: "store-1", Incarnation: "4f2a"}},
		{MethodSync + " request", SyncRequest{
			Node: goldenNode(), ConfigVersion: 1<<63 + 23, TableRevision: 1<<63 + 25, WorkersEpoch: 1<<63 + 27,
			WorkersRevision: 1<<63 + 29, WaitMS: 400,
		}},
		{MethodSync + " response", SyncResponse{
			ConfigVersion: 1<<63 + 31, ConfigUpdates: []int{120, 340}, Table: goldenTable(),
			TableChanges: []TableChange{goldenTableChange()}, Workers: goldenWorkerList(),
			WorkerChanges: []WorkerChange{goldenWorkerChange()}, Compressed: true, WorkerCount: 12, WorkersAgeMS: 250,
			LeaseAgeMS: 35,
		}},
		{MethodSync + " response without a lease", SyncResponse{
			ConfigVersion: 1, ConfigUpdates: []int{1}, Table: goldenTable(), TableChanges: []TableChange{goldenTableChange()},
			Workers: goldenWorkerList(), WorkerChanges: []WorkerChange{goldenWorkerChange()}, Compressed: true, WorkerCount: 1,
			WorkersAgeMS: -1, LeaseAgeMS: NoLease,
		}},
		{MethodFailureReport + " request", FailureReport{Node: "store-1", Address: "10.0.0.1:7240", Refused: true}},
		{MethodPartitionRequest + " request", PartitionRequest{
			Partition: 17, Epoch: 1<<63 + 33, Store: "store-1", Drop: "store-2", Synced: "store-3", Handover: true,
			Ready: []string{"store-4"},
		}},
		{MethodOperator + " request", OperatorRequest{Method: "PUT", Path: "/config", BaseVersion: "12"}},
		{MethodOperator + " response", OperatorResponse{Status: 412}},
		{"table", *goldenTable()},
		{"table change", goldenTableChange()},
		{"member", goldenMembers()[0]},
		{"store", goldenStores()[0]},
		{"partition", goldenPartitions()[0]},
		{"replica", goldenPartitions()[0].Replicas[0]},
		{"worker", goldenWorkers()[0]},
		{"worker list", *goldenWorkerList()},
		{"worker change", goldenWorkerChange()},
		{"worker version", goldenWorkerChange().From},
	}
}

// addedFields are the suffixes of the paths of fields that later versions have added. goldenValues leaves these fields
// unset, so that the file of the first version does not change; goldenAddedValues sets them.
var addedFields = []string{
	"Replicas.Suspected", "replica.Suspected", "Partitions.Retained", "partition.Retained", "CollectsMessages",
	"request.Renew",
}

func goldenAddedValues() []goldenValue {
	replica := goldenPartitions()[0].Replicas[0]
	replica.Suspected = true
	return []goldenValue{{"replica", replica}}
}

// goldenRetainedValues has the fields that were added with retained replicas.
func goldenRetainedValues() []goldenValue {
	replica := goldenPartitions()[0].Replicas[0]
	replica.Suspected = true
	retained := RetainedReplica{Store: "store-7", DiskID: "d07", Epoch: 1<<63 + 35}
	partition := goldenPartitions()[0]
	partition.Replicas = []Replica{replica}
	partition.Retained = []RetainedReplica{retained}
	node := goldenNode()
	node.CollectsMessages = true
	return []goldenValue{{"partition", partition}, {"retained replica", retained}, {"node", node}}
}

// goldenRenewalValues has the request for a new epoch.
func goldenRenewalValues() []goldenValue {
	return []goldenValue{{MethodPartitionRequest + " request", PartitionRequest{
		Partition: 17, Epoch: 1<<63 + 33, Store: "store-1", Drop: "store-2", Synced: "store-3", Handover: true,
		Ready: []string{"store-4"}, Renew: true,
	}}}
}

// isAdded reports whether a later version has added the field with the given path.
func isAdded(path string) bool {
	return slices.ContainsFunc(addedFields, func(end string) bool { return strings.HasSuffix(path, end) })
}

// TestGoldenMessages guards the JSON of messages and table entries: each value is written and read again, once with all
// fields set and once with none.
func TestGoldenMessages(t *testing.T) {
	for _, each := range goldenValues() {
		unset := slices.DeleteFunc(unsetFields(reflect.ValueOf(each.full), each.name), isAdded)
		assert.Equal(t, len(unset), 0, "%q", unset)
	}
	requireGolden(t, goldenValues(), goldenMessages)
}

// TestGoldenAddedFields guards the JSON of the fields that later versions have added.
func TestGoldenAddedFields(t *testing.T) {
	for _, each := range goldenAddedValues() {
		assert.DeepEqual(t, unsetFields(reflect.ValueOf(each.full), each.name), []string(nil))
	}
	requireGolden(t, goldenAddedValues(), goldenAdded)

	for _, each := range goldenRetainedValues() {
		assert.DeepEqual(t, unsetFields(reflect.ValueOf(each.full), each.name), []string(nil))
	}
	requireGolden(t, goldenRetainedValues(), goldenRetained)

	for _, each := range goldenRenewalValues() {
		assert.DeepEqual(t, unsetFields(reflect.ValueOf(each.full), each.name), []string(nil))
	}
	requireGolden(t, goldenRenewalValues(), goldenRenewal)
}

// requireGolden encodes each value with all fields set and with none, compares the lines with a file, and checks that
// the lines of the file are the same after decoding and encoding.
func requireGolden(t *testing.T, values []goldenValue, file string) {
	t.Helper()
	var lines bytes.Buffer
	for _, each := range values {
		empty := reflect.Zero(reflect.TypeOf(each.full)).Interface()
		for _, value := range []any{each.full, empty} {
			encoded, err := json.Marshal(value)
			assert.NilError(t, err)
			lines.WriteString(each.name + "\t" + string(encoded) + "\n")
		}
	}
	golden.AssertBytes(t, lines.Bytes(), file)
	read := strings.Split(strings.TrimSuffix(string(golden.Get(t, file)), "\n"), "\n")
	for i, each := range values {
		for _, line := range read[2*i : 2*i+2] {
			_, encoded, _ := strings.Cut(line, "\t")
			decoded := reflect.New(reflect.TypeOf(each.full))
			assert.NilError(t, json.Unmarshal([]byte(encoded), decoded.Interface()))
			again, err := json.Marshal(decoded.Interface())
			assert.NilError(t, err)
			assert.Equal(t, string(again), encoded)
		}
	}
	assert.Equal(t, len(read), 2*len(values))
}

// unsetFields returns the paths of all fields of a value, including nested ones, that have their zero value.
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
		if value.Type() == reflect.TypeFor[time.Time]() {
			return nil
		}
		for i := range value.NumField() {
			unset = append(unset, unsetFields(value.Field(i), path+"."+value.Type().Field(i).Name)...)
		}
	}
	return slices.Compact(unset)
}

// TestGoldenMembersFile guards the format of the file that stores the members of the control group.
func TestGoldenMembersFile(t *testing.T) {
	path := t.TempDir()
	disk, err := vfs.OpenDirectory(path)
	assert.NilError(t, err)
	assert.NilError(t, saveMembers(disk, goldenMembers()))
	contents, err := os.ReadFile(filepath.Join(path, membersFile))
	assert.NilError(t, err)
	golden.AssertBytes(t, contents, filepath.Join(goldenDisk, membersFile))
	written, err := vfs.OpenDirectory(golden.Path(goldenDisk))
	assert.NilError(t, err)
	assert.DeepEqual(t, loadMembers(written), goldenMembers())
}

// TestGoldenCompressedBody guards against a Decompress that cannot read the bodies of earlier versions. The compressed
// bytes may differ between versions of the compressor, so the test does not compare them.
func TestGoldenCompressedBody(t *testing.T) {
	body := []byte(strings.Repeat(`{"name":"r-1","host":"h.example","path-prefix":"/a/"},`, 200))
	if golden.FlagUpdate() {
		compressed, worthwhile := Compress(body)
		assert.Assert(t, worthwhile)
		golden.AssertBytes(t, compressed, goldenBody)
	}
	decompressed, err := Decompress(golden.Get(t, goldenBody))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(decompressed, body))
}
