package wal

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs"
)

// recoveredData collects the snapshot and the records that Open passes to a log's owner.
type recoveredData struct {
	snapshot  []byte
	records   [][]byte
	positions []Position
}

func (r *recoveredData) restore(snapshot []byte) error {
	r.snapshot = snapshot
	return nil
}

func (r *recoveredData) replay(position Position, record []byte) error {
	r.records = append(r.records, bytes.Clone(record))
	r.positions = append(r.positions, position)
	return nil
}

// testingT is implemented by *testing.T and *rapid.T.
type testingT interface {
	assert.TestingT
	Helper()
}

func openLog(t testingT, disk vfs.FS, segmentBytes int64) (*Log, *recoveredData) {
	t.Helper()
	found := &recoveredData{}
	log, err := Open(Options{FS: disk, SegmentBytes: segmentBytes}, found.restore, found.replay)
	assert.NilError(t, err)
	return log, found
}

func appendRecord(t testingT, log *Log, record string) Position {
	t.Helper()
	position, err := log.Append([]byte(record))
	assert.NilError(t, err)
	return position
}

func syncLog(t testingT, log *Log) {
	t.Helper()
	assert.NilError(t, log.Sync(context.Background()))
}

// assertRecords checks that exactly these records were replayed in order, and that they can be read by position.
func assertRecords(t testingT, log *Log, found *recoveredData, want ...string) {
	t.Helper()
	got := make([]string, 0, len(found.records))
	for _, record := range found.records {
		got = append(got, string(record))
	}
	assert.DeepEqual(t, got, append([]string{}, want...))
	for i, position := range found.positions {
		record, err := log.Read(position)
		assert.NilError(t, err)
		assert.Equal(t, string(record), want[i])
	}
}

// numberedRecords returns count distinct records with a common prefix.
func numberedRecords(prefix string, count int) []string {
	records := make([]string, count)
	for i := range records {
		records[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return records
}

func readFile(t *testing.T, disk vfs.FS, name string) []byte {
	t.Helper()
	file, err := disk.Open(name)
	assert.NilError(t, err)
	data, err := readContents(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return data
}

func writeFile(t testingT, disk vfs.FS, name string, data []byte) {
	t.Helper()
	file, err := disk.Create(name)
	assert.NilError(t, err)
	_, err = file.WriteAt(data, 0)
	assert.NilError(t, err)
	assert.NilError(t, file.Sync())
	assert.NilError(t, disk.SyncDir())
	assert.NilError(t, file.Close())
}
