package wal

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs/memfs"
)

func TestSegmentTornAtAnyByteKeepsCompleteRecords(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	records := numberedRecords("record", 5)
	var ends []int64
	for _, record := range records {
		position := appendRecord(t, log, record)
		ends = append(ends, position.Offset+int64(position.Length))
	}
	assert.NilError(t, log.Close())
	whole := readFile(t, disk, segmentName(1))

	for size := range whole {
		for _, garbage := range []string{"", "\x00\x00\x00\x00\x00\x00\x00\x00\x00", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"} {
			torn := memfs.New(1)
			writeFile(t, torn, segmentName(1), append(append([]byte{}, whole[:size]...), garbage...))
			complete := 0
			for complete < len(ends) && ends[complete] <= int64(size) {
				complete++
			}
			assertRecoversAndAppends(t, torn, records[:complete])
		}
	}
}

// assertRecoversAndAppends checks that a log on the disk replays exactly these records, and that a record appended and
// synced afterwards survives a power loss.
func assertRecoversAndAppends(t testingT, disk *memfs.Disk, records []string) {
	t.Helper()
	log, found := openLog(t, disk, 0)
	assertRecords(t, log, found, records...)
	appendRecord(t, log, "another")
	syncLog(t, log)
	disk.PowerLoss()
	log, found = openLog(t, disk, 0)
	assertRecords(t, log, found, append(append([]string{}, records...), "another")...)
	assert.NilError(t, log.Close())
}

func TestCorruptionAtEveryByteEndsTheReplay(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	records := numberedRecords("record", 4)
	var ends []int
	for _, record := range records {
		position := appendRecord(t, log, record)
		ends = append(ends, int(position.Offset)+int(position.Length))
	}
	assert.NilError(t, log.Close())
	whole := readFile(t, disk, segmentName(1))

	for offset := range whole {
		damaged := memfs.New(1)
		copied := append([]byte{}, whole...)
		copied[offset] ^= 0x41
		writeFile(t, damaged, segmentName(1), copied)
		intact := 0
		for offset >= segmentHeaderSize && ends[intact] <= offset {
			intact++
		}
		assertRecoversAndAppends(t, damaged, records[:intact])
	}
}

func TestCorruptionBeforeTheLastSegmentIsAnError(t *testing.T) {
	build := func() *memfs.Disk {
		disk := memfs.New(1)
		log, _ := openLog(t, disk, 60)
		for _, record := range numberedRecords("record", 8) {
			appendRecord(t, log, record)
		}
		assert.NilError(t, log.Close())
		return disk
	}
	reopen := func(disk *memfs.Disk) error {
		found := &recoveredData{}
		_, err := Open(Options{FS: disk}, found.restore, found.replay)
		return err
	}

	truncated := build()
	whole := readFile(t, truncated, segmentName(2))
	writeFile(t, truncated, segmentName(2), whole[:len(whole)-1])
	assert.ErrorIs(t, reopen(truncated), ErrCorrupt)

	missing := build()
	assert.NilError(t, missing.Remove(segmentName(2)))
	assert.ErrorIs(t, reopen(missing), ErrCorrupt)
}

func TestPowerLossDuringSaveFileKeepsOldOrNewData(t *testing.T) {
	for seed := range uint64(20) {
		for steps := range 10 {
			disk := memfs.New(seed)
			assert.NilError(t, SaveFile(disk, "file", []byte("old")))
			interrupted := &interruptedFS{FS: disk.Mount(), interrupt: disk.PowerLoss, remaining: steps}
			saved := SaveFile(interrupted, "file", []byte("new")) == nil
			disk.PowerLoss()
			data, err := LoadFile(disk, "file")
			assert.NilError(t, err)
			assert.Assert(t, string(data) == "new" || !saved && string(data) == "old")
		}
	}
}

func TestRecordsAfterCorruptionStayDiscarded(t *testing.T) {
	disk := memfs.New(1)
	log, _ := openLog(t, disk, 0)
	appendRecord(t, log, "first")
	damaged := appendRecord(t, log, "second")
	appendRecord(t, log, "third")
	assert.NilError(t, log.Close())
	whole := readFile(t, disk, segmentName(1))
	whole[damaged.Offset] ^= 1
	writeFile(t, disk, segmentName(1), whole)

	log, found := openLog(t, disk, 0)
	assertRecords(t, log, found, "first")
	appendRecord(t, log, "SECOND")
	assert.NilError(t, log.Close())
	log, found = openLog(t, disk, 0)
	assertRecords(t, log, found, "first", "SECOND")
}

func FuzzReplay(f *testing.F) {
	seed := appendSegmentHeader(nil, 1)
	for _, record := range numberedRecords("record", 3) {
		parts := [][]byte{[]byte(record)}
		header := newRecordHeader(len(record), parts)
		seed = append(append(seed, header[:]...), record...)
	}
	f.Add(seed)
	f.Add(seed[:len(seed)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := memfs.New(1)
		writeFile(t, disk, segmentName(1), data)
		log, found := openLog(t, disk, 0)
		records := make([]string, 0, len(found.records))
		for _, record := range found.records {
			records = append(records, string(record))
		}
		assert.NilError(t, log.Close())
		assertRecoversAndAppends(t, disk, records)
	})
}
