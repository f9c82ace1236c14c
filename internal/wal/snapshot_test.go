package wal

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs/memfs"
)

func TestCorruptSnapshotWithoutItsSegmentsIsAnError(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	appendRecord(t, log, "record")
	assert.NilError(t, log.WriteSnapshot([]byte("snapshot")))
	assert.NilError(t, log.RemoveSegments(2))
	assert.NilError(t, log.Close())
	writeFile(t, disk, snapshotName(2), []byte("damaged"))
	found := &recoveredData{}
	_, err := Open(Options{FS: disk}, found.restore, found.replay)
	assert.ErrorIs(t, err, ErrCorrupt)
}

func TestCorruptSnapshotFallsBackToItsSegments(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	appendRecord(t, log, "record")
	assert.NilError(t, log.WriteSnapshot([]byte("snapshot")))
	appendRecord(t, log, "later")
	assert.NilError(t, log.Close())
	writeFile(t, disk, snapshotName(2), []byte("damaged"))
	log, found := openLog(t, disk, 0)
	assert.Assert(t, found.snapshot == nil)
	assertRecords(t, log, found, "record", "later")
}

func TestCoveredSegmentsAreNotReplayedAndStayReadable(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	covered := appendRecord(t, log, "covered")
	assert.NilError(t, log.WriteSnapshot([]byte("one")))
	appendRecord(t, log, "covered later")
	assert.NilError(t, log.WriteSnapshot([]byte("two")))
	appendRecord(t, log, "replayed")
	assert.NilError(t, log.Close())

	log, found := openLog(t, disk, 0)
	assert.Equal(t, string(found.snapshot), "two")
	assertRecords(t, log, found, "replayed")
	record, err := log.Read(covered)
	assert.NilError(t, err)
	assert.Equal(t, string(record), "covered")
	assert.Equal(t, len(log.Segments()), 3)
	size := log.Size()

	assert.NilError(t, log.RemoveSegments(100))
	assert.Equal(t, len(log.Segments()), 1)
	assert.Assert(t, log.Size() < size)
	_, err = log.Read(covered)
	assert.ErrorIs(t, err, ErrNoRecord)
	names, err := disk.List()
	assert.NilError(t, err)
	assert.Equal(t, len(names), 2)
	disk.PowerLoss()
	_, found = openLog(t, disk, 0)
	assert.Equal(t, string(found.snapshot), "two")
	assert.Equal(t, len(found.records), 1)
}

func TestRecordsMayBeAppendedBetweenBeginAndCommit(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	appendRecord(t, log, "covered")
	older, err := log.BeginSnapshot()
	assert.NilError(t, err)
	appendRecord(t, log, "between")
	newer, err := log.BeginSnapshot()
	assert.NilError(t, err)
	appendRecord(t, log, "replayed")
	assert.NilError(t, newer.Commit([]byte("newer")))
	assert.NilError(t, older.Commit([]byte("older")))
	assert.NilError(t, log.Close())
	log, found := openLog(t, disk, 0)
	assert.Equal(t, string(found.snapshot), "newer")
	assertRecords(t, log, found, "replayed")
}

func TestFullDiskFailsSnapshotButNotTheLog(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	appendRecord(t, log, "one")
	assert.NilError(t, log.WriteSnapshot([]byte("first")))
	appendRecord(t, log, "two")
	syncLog(t, log)
	disk.SetFull(true)
	assert.Assert(t, IsDiskFull(log.WriteSnapshot([]byte("second"))))
	disk.SetFull(false)
	appendRecord(t, log, "three")
	syncLog(t, log)
	disk.PowerLoss()
	log, found := openLog(t, disk, 0)
	assert.Equal(t, string(found.snapshot), "first")
	assertRecords(t, log, found, "two", "three")
}

func TestPowerLossDuringSnapshotKeepsOldOrNewSnapshot(t *testing.T) {
	const mostSteps = 40
	for seed := range uint64(20) {
		for steps := range mostSteps {
			disk := memfs.New(seed)
			log, _ := openLog(t, disk, 0)
			appendRecord(t, log, "one")
			assert.NilError(t, log.WriteSnapshot([]byte("first")))
			appendRecord(t, log, "two")
			assert.NilError(t, log.Close())

			interrupted := &interruptedFS{FS: disk.Mount(), interrupt: disk.PowerLoss, remaining: steps}
			found := &recoveredData{}
			log, err := Open(Options{FS: interrupted}, found.restore, found.replay)
			committed := err == nil && log.WriteSnapshot([]byte("second")) == nil
			if committed {
				_ = log.RemoveSegments(100)
			}
			disk.PowerLoss()

			log, found = openLog(t, disk, 0)
			if committed || string(found.snapshot) == "second" {
				assert.Equal(t, string(found.snapshot), "second")
				assertRecords(t, log, found)
			} else {
				assert.Equal(t, string(found.snapshot), "first")
				assertRecords(t, log, found, "two")
			}
		}
	}
}
