package wal

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs"
)

// contents is what a log handed over when it was opened.
type contents struct {
	snapshot  []byte
	records   [][]byte
	positions []Position
}

func (c *contents) restore(snapshot []byte) error {
	c.snapshot = snapshot
	return nil
}

func (c *contents) replay(position Position, record []byte) error {
	c.records = append(c.records, bytes.Clone(record))
	c.positions = append(c.positions, position)
	return nil
}

// tester is what the helpers need of *testing.T and *rapid.T.
type tester interface {
	assert.TestingT
	Helper()
}

func openLog(t tester, disk vfs.FS, segmentBytes int64) (*Log, *contents) {
	t.Helper()
	found := &contents{}
	log, err := Open(Options{FS: disk, SegmentBytes: segmentBytes}, found.restore, found.replay)
	assert.NilError(t, err)
	return log, found
}

func appendRecord(t tester, log *Log, record string) Position {
	t.Helper()
	position, err := log.Append([]byte(record))
	assert.NilError(t, err)
	return position
}

func syncLog(t tester, log *Log) {
	t.Helper()
	assert.NilError(t, log.Sync(context.Background()))
}

// assertRecords checks that records were replayed, in order, and that they can be read by their positions.
func assertRecords(t tester, log *Log, found *contents, want ...string) {
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

// numbered returns count distinct records that begin with a prefix.
func numbered(prefix string, count int) []string {
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
	data, err := readWhole(file)
	assert.NilError(t, err)
	assert.NilError(t, file.Close())
	return data
}

func writeFile(t tester, disk vfs.FS, name string, data []byte) {
	t.Helper()
	file, err := disk.Create(name)
	assert.NilError(t, err)
	_, err = file.WriteAt(data, 0)
	assert.NilError(t, err)
	assert.NilError(t, file.Sync())
	assert.NilError(t, disk.SyncDir())
	assert.NilError(t, file.Close())
}
