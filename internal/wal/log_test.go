package wal

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs"
	"gladepick/internal/vfs/memfs"
)

func TestAppendReadAndReopenInDirectory(t *testing.T) {
	path := t.TempDir() + "/data"
	disk, err := vfs.OpenDirectory(path)
	assert.NilError(t, err)
	log, found := openLog(t, disk, 200)
	assertRecords(t, log, found)

	want := append(numberedRecords("record", 40), "", strings.Repeat("long", 100))
	for _, record := range want {
		position, err := log.AppendParts([]byte(record[:len(record)/2]), []byte(record[len(record)/2:]))
		assert.NilError(t, err)
		buffered, err := log.Read(position)
		assert.NilError(t, err)
		assert.Equal(t, string(buffered), record)
	}
	syncLog(t, log)
	assert.Assert(t, len(log.Segments()) > 5)
	assert.NilError(t, log.Close())
	assert.ErrorIs(t, log.Close(), ErrClosed)
	assert.ErrorIs(t, log.Sync(context.Background()), ErrClosed)

	log, found = openLog(t, disk, 200)
	assertRecords(t, log, found, want...)
	want = append(want, "after")
	appendRecord(t, log, "after")
	assert.NilError(t, log.Close())
	log, found = openLog(t, disk, 200)
	assertRecords(t, log, found, want...)
	assert.NilError(t, log.Close())

	entries, err := os.ReadDir(path)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), len(log.Segments()))
}

func TestReadRejectsPositionsWithoutRecord(t *testing.T) {
	log, _ := openLog(t, memfs.New(1), 0)
	position := appendRecord(t, log, "record")
	syncLog(t, log)

	for _, wrong := range []Position{
		{},
		{Segment: 7, Offset: position.Offset, Length: position.Length},
		{Segment: 1, Offset: 3, Length: 4},
		{Segment: 1, Offset: position.Offset, Length: 1000},
		{Segment: 1, Offset: position.Offset, Length: -1},
	} {
		_, err := log.Read(wrong)
		assert.ErrorIs(t, err, ErrNoRecord)
	}
	_, err := log.Read(Position{Segment: 1, Offset: position.Offset, Length: 5})
	assert.ErrorIs(t, err, ErrCorrupt)
	_, err = log.Append(make([]byte, MaxRecordBytes+1))
	assert.ErrorIs(t, err, ErrTooLarge)
}

func TestConcurrentSyncsShareOneDiskSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		disk.SetSyncDelay(10 * time.Millisecond)
		log, _ := openLog(t, disk, 0)
		before, start := disk.Syncs(), time.Now()

		appendRecord(t, log, "first")
		first := startSync(log)
		synctest.Wait()
		var waiters sync.WaitGroup
		for _, record := range numberedRecords("record", 100) {
			waiters.Go(func() {
				_, err := log.Append([]byte(record))
				assert.Check(t, err)
				assert.Check(t, log.Sync(context.Background()))
			})
		}
		waiters.Wait()
		assert.NilError(t, <-first)

		assert.Equal(t, disk.Syncs()-before, 2)
		assert.Equal(t, time.Since(start), 20*time.Millisecond)
		syncLog(t, log)
		assert.Equal(t, disk.Syncs()-before, 2)
	})
}

func TestSyncCoversRecordsAppendedDuringAnotherSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 0)
		disk.SetStalled(true)
		appendRecord(t, log, "first")
		running := startSync(log)
		synctest.Wait()
		appendRecord(t, log, "second")
		disk.SetStalled(false)
		assert.NilError(t, <-running)
		before := disk.Syncs()
		syncLog(t, log)
		assert.Equal(t, disk.Syncs(), before+1)
		disk.PowerLoss()
		log, found := openLog(t, disk, 0)
		assertRecords(t, log, found, "first", "second")
	})
}

// startSync calls Sync in a goroutine and returns a channel that receives its result.
func startSync(log *Log) <-chan error {
	result := make(chan error, 1)
	go func() { result <- log.Sync(context.Background()) }()
	return result
}

func TestSyncReturnsWhenContextEndsOnStalledDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 0)
		disk.SetStalled(true)
		position := appendRecord(t, log, "record")
		ctx, cancel := context.WithTimeout(t.Context(), slowSyncThreshold)
		defer cancel()

		assert.Assert(t, !log.Failing())
		assert.ErrorIs(t, log.Sync(ctx), context.DeadlineExceeded)
		time.Sleep(time.Millisecond)
		assert.Assert(t, log.Failing())
		record, err := log.Read(position)
		assert.NilError(t, err)
		assert.Equal(t, string(record), "record")

		disk.SetStalled(false)
		syncLog(t, log)
		assert.Assert(t, !log.Failing())
		disk.PowerLoss()
		log, found := openLog(t, disk, 0)
		assertRecords(t, log, found, "record")
	})
}

func TestStalledDiskLimitsTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 0)
		disk.SetStalled(true)
		first := startSync(log)
		record := make([]byte, 1<<20)
		var err error
		accepted := 0
		for ; err == nil && accepted < 100; accepted++ {
			_, err = log.Append(record)
		}
		assert.ErrorIs(t, err, ErrBacklogFull)
		assert.Equal(t, accepted-1, maxBacklogBytes/len(record))
		disk.SetStalled(false)
		assert.NilError(t, <-first)
		syncLog(t, log)
		_, err = log.Append(record)
		assert.NilError(t, err)
	})
}

func TestFullDiskFailsSyncUntilSpaceIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(50) {
			disk := memfs.New(seed)
			log, _ := openLog(t, disk, 120)
			appendRecord(t, log, "before")
			syncLog(t, log)
			whole := readFile(t, disk, segmentName(1))
			disk.SetFull(true)
			position := appendRecord(t, log, "while full")
			appendRecord(t, log, strings.Repeat("in the next segment", 10))
			err := log.Sync(context.Background())
			assert.Assert(t, IsDiskFull(err), "%v", err)
			assert.Assert(t, log.Failing())
			assert.DeepEqual(t, readFile(t, disk, segmentName(1)), whole)
			record, err := log.Read(position)
			assert.NilError(t, err)
			assert.Equal(t, string(record), "while full")

			disk.SetFull(false)
			appendRecord(t, log, "after")
			syncLog(t, log)
			assert.Assert(t, !log.Failing())
			disk.PowerLoss()
			reopened, found := openLog(t, disk, 120)
			next := strings.Repeat("in the next segment", 10)
			assertRecords(t, reopened, found, "before", "while full", next, "after")
		}
	})
}

func TestFullDiskIsRetriedWithoutFurtherSync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 0)
		disk.SetFull(true)
		appendRecord(t, log, "record")
		assert.Assert(t, IsDiskFull(log.Sync(t.Context())))
		time.Sleep(3 * diskFullRetryInterval)
		assert.Assert(t, log.Failing())
		disk.SetFull(false)
		time.Sleep(diskFullRetryInterval)
		synctest.Wait()
		assert.Assert(t, !log.Failing())
		assert.NilError(t, log.Close())
	})
}

func TestFullDiskLimitsTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 0)
		disk.SetFull(true)
		record := make([]byte, maxBacklogBytesOnFullDisk)
		_, err := log.Append(record)
		assert.NilError(t, err)
		assert.Assert(t, IsDiskFull(log.Sync(t.Context())))
		_, err = log.Append(record)
		assert.ErrorIs(t, err, ErrBacklogFull)
		assert.Assert(t, IsDiskFull(log.Close()))
	})
}

func TestDiskErrorFailsTheLogPermanently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 0)
		appendRecord(t, log, "record")
		syncLog(t, log)
		disk.SetStalled(true)
		appendRecord(t, log, "second")
		running := startSync(log)
		synctest.Wait()
		appendRecord(t, log, "third")
		waiting := startSync(log)
		synctest.Wait()
		disk.PowerLoss()

		assert.ErrorIs(t, <-running, memfs.ErrPowerLost)
		assert.ErrorIs(t, <-waiting, memfs.ErrPowerLost)
		assert.ErrorIs(t, log.Sync(t.Context()), memfs.ErrPowerLost)
		_, err := log.Append(nil)
		assert.ErrorIs(t, err, memfs.ErrPowerLost)
		assert.ErrorIs(t, log.WriteSnapshot(nil), memfs.ErrPowerLost)
		assert.Assert(t, log.Failing())
		assert.ErrorIs(t, log.Close(), memfs.ErrPowerLost)
	})
}

func TestSaveAndLoadFile(t *testing.T) {
	directory, err := vfs.OpenDirectory(t.TempDir())
	assert.NilError(t, err)
	for _, disk := range []vfs.FS{directory, memfs.New(1)} {
		_, err := LoadFile(disk, "file")
		assert.ErrorIs(t, err, fs.ErrNotExist)
		for _, data := range []string{"contents", "", "other"} {
			assert.NilError(t, SaveFile(disk, "file", []byte(data)))
			loaded, err := LoadFile(disk, "file")
			assert.NilError(t, err)
			assert.Equal(t, string(loaded), data)
		}
		whole := readFile(t, disk, "file")
		for i := range whole {
			whole[i] ^= 0x10
			writeFile(t, disk, "file", whole)
			_, err := LoadFile(disk, "file")
			assert.ErrorIs(t, err, ErrCorrupt)
			whole[i] ^= 0x10
			writeFile(t, disk, "file", whole[:i])
			_, err = LoadFile(disk, "file")
			assert.ErrorIs(t, err, ErrCorrupt)
		}
	}
}

func TestReplayErrorFailsOpen(t *testing.T) {
	disk := memfs.New(1)
	log, found := openLog(t, disk, 0)
	appendRecord(t, log, "record")
	assert.NilError(t, log.Close())
	refusal := errors.New("refused")
	replay := func(Position, []byte) error { return refusal }
	_, err := Open(Options{FS: disk}, found.restore, replay)
	assert.ErrorIs(t, err, refusal)
}

func TestConcurrentAppendsSnapshotsAndRemovals(t *testing.T) {
	disk, err := vfs.OpenDirectory(t.TempDir())
	assert.NilError(t, err)
	log, _ := openLog(t, disk, 500)
	var workers sync.WaitGroup
	for _, prefix := range numberedRecords("worker", 4) {
		workers.Go(func() { appendAndRead(t, log, numberedRecords(prefix, 30)) })
	}
	for range 5 {
		assert.NilError(t, log.WriteSnapshot([]byte("snapshot")))
		segments := log.Segments()
		if len(segments) > 0 {
			assert.NilError(t, log.RemoveSegments(segments[len(segments)-1].Number))
		}
	}
	workers.Wait()
	assert.NilError(t, log.Close())
	_, found := openLog(t, disk, 500)
	assert.Equal(t, string(found.snapshot), "snapshot")
}

// appendAndRead appends and syncs records one by one, and checks that each is readable unless its segment was removed.
func appendAndRead(t *testing.T, log *Log, records []string) {
	for _, record := range records {
		position, err := log.Append([]byte(record))
		assert.Check(t, err)
		assert.Check(t, log.Sync(context.Background()))
		read, err := log.Read(position)
		if errors.Is(err, ErrNoRecord) {
			continue
		}
		assert.Check(t, err)
		assert.Check(t, string(read) == record)
	}
}

// TestFullBacklogIsSyncedWithoutACallOfSync guards against a log that refuses records for ever, because the callers whose
// append fails do not get to a call of Sync.
func TestFullBacklogIsSyncedWithoutACallOfSync(t *testing.T) {
	log, err := Open(Options{FS: memfs.New(1).Mount()}, nil, nil)
	assert.NilError(t, err)
	record := make([]byte, 1<<20)
	for err == nil {
		_, err = log.Append(record)
	}
	assert.Assert(t, errors.Is(err, ErrBacklogFull), "%v", err)
	for deadline := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		_, err = log.Append(record)
	}
	assert.NilError(t, err)
	assert.NilError(t, log.Close())
}
