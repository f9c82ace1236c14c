package wal

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/vfs/memfs"
)

// The files under testdata/golden were written by the version before which nothing is promised. Every later version has
// to read them with the recorded result, and to write the same records as the same bytes. They are made by
//
//	go test ./internal/wal -run TestGolden -update
//
// and may change only with the number of the format's version.

const goldenSegmentBytes = 400

// goldenCase is a directory of a log: how it is written, and what happens to its files afterwards.
type goldenCase struct {
	write  func(t *testing.T, disk *memfs.Disk)
	damage func(files map[string][]byte) // nil where the files stay as they were written
}

// goldenRecord is a record as a replay hands it over.
type goldenRecord struct {
	Position Position `json:"position"`
	Payload  []byte   `json:"payload"`
}

// goldenResult is what comes of opening a directory.
type goldenResult struct {
	Damaged  bool             `json:"damaged"` // Open has returned ErrCorrupt
	Snapshot []byte           `json:"snapshot"`
	Records  []goldenRecord   `json:"records"`
	Sizes    map[string]int64 `json:"sizes"` // of the files after Open and Close
}

// goldenPayload returns a payload with all values of bytes in it, if it is long enough.
func goldenPayload(size int) []byte {
	payload := make([]byte, size)
	for i := range payload {
		payload[i] = byte(i*7 + size)
	}
	return payload
}

func appendSizes(t *testing.T, log *Log, sizes ...int) {
	t.Helper()
	for _, size := range sizes {
		payload := goldenPayload(size)
		_, err := log.AppendParts(payload[:size/3], payload[size/3:])
		assert.NilError(t, err)
	}
}

// writeSegments writes records of several sizes: none, one byte, some that share a segment, one that is larger than a segment.
func writeSegments(t *testing.T, disk *memfs.Disk) {
	log, _ := openLog(t, disk, goldenSegmentBytes)
	appendSizes(t, log, 0, 1, 7, 150, 100)
	syncLog(t, log)
	appendSizes(t, log, 600, 33)
	assert.NilError(t, log.Close())
}

// writeSnapshots writes two snapshots, with records before, between and behind them.
func writeSnapshots(t *testing.T, disk *memfs.Disk) {
	log, _ := openLog(t, disk, goldenSegmentBytes)
	appendSizes(t, log, 20, 30)
	assert.NilError(t, log.WriteSnapshot(goldenPayload(50)))
	appendSizes(t, log, 40)
	assert.NilError(t, log.WriteSnapshot(goldenPayload(90)))
	appendSizes(t, log, 60, 250, 80)
	assert.NilError(t, log.Close())
}

func goldenCases() map[string]goldenCase {
	return map[string]goldenCase{
		"segments":  {write: writeSegments},
		"snapshots": {write: writeSnapshots},
		"removed": {write: func(t *testing.T, disk *memfs.Disk) {
			writeSnapshots(t, disk)
			log, _ := openLog(t, disk, goldenSegmentBytes)
			assert.NilError(t, log.RemoveSegments(100))
			assert.NilError(t, log.Close())
		}},
		"torn": {write: writeSegments, damage: func(files map[string][]byte) {
			last := segmentName(3)
			files[last] = files[last][:len(files[last])-5]
		}},
		"flipped": {write: writeSegments, damage: func(files map[string][]byte) {
			for number := uint64(2); number <= 3; number++ {
				delete(files, segmentName(number))
			}
			files[segmentName(1)][segmentHeaderSize+3*recordHeaderSize+8+20] ^= 0x04
		}},
		"flipped-in-an-earlier-segment": {write: writeSegments, damage: func(files map[string][]byte) {
			files[segmentName(1)][segmentHeaderSize+3*recordHeaderSize+8+20] ^= 0x04
		}},
		"flipped-snapshot": {write: writeSnapshots, damage: func(files map[string][]byte) {
			files[snapshotName(3)][fileHeaderSize+10] ^= 0x80
		}},
		"interrupted-snapshot": {write: writeSnapshots, damage: func(files map[string][]byte) {
			files[snapshotName(9)+temporarySuffix] = files[snapshotName(3)][:30]
		}},
	}
}

// readDisk returns the contents of all files.
func readDisk(t *testing.T, disk *memfs.Disk) map[string][]byte {
	t.Helper()
	names, err := disk.List()
	assert.NilError(t, err)
	files := make(map[string][]byte)
	for _, name := range names {
		files[name] = readFile(t, disk, name)
	}
	return files
}

// openGolden opens the directory of a case and tells what comes of it.
func openGolden(t *testing.T, folder string) goldenResult {
	t.Helper()
	disk := memfs.New(1)
	entries, err := os.ReadDir(golden.Path(folder))
	assert.NilError(t, err)
	for _, entry := range entries {
		writeFile(t, disk, entry.Name(), golden.Get(t, path.Join(folder, entry.Name())))
	}
	found := &contents{}
	log, err := Open(Options{FS: disk, SegmentBytes: goldenSegmentBytes}, found.restore, found.replay)
	result := goldenResult{Damaged: errors.Is(err, ErrCorrupt), Snapshot: found.snapshot, Sizes: make(map[string]int64)}
	if !result.Damaged {
		assert.NilError(t, err)
		assert.NilError(t, log.Close())
	}
	for i, payload := range found.records {
		result.Records = append(result.Records, goldenRecord{Position: found.positions[i], Payload: payload})
	}
	for name, data := range readDisk(t, disk) {
		result.Sizes[name] = int64(len(data))
	}
	return result
}

// TestGoldenLogs writes each directory again byte for byte, and reads the recorded one with the recorded result.
func TestGoldenLogs(t *testing.T) {
	for name, each := range goldenCases() {
		t.Run(name, func(t *testing.T) {
			disk := memfs.New(1)
			each.write(t, disk)
			written := readDisk(t, disk)
			if each.damage != nil {
				each.damage(written)
			}
			folder := path.Join("golden", name, "files")
			for file, data := range written {
				golden.AssertBytes(t, data, path.Join(folder, file))
			}
			recorded, err := os.ReadDir(golden.Path(folder))
			assert.NilError(t, err)
			assert.Equal(t, len(recorded), len(written))

			result, err := json.MarshalIndent(openGolden(t, folder), "", "  ")
			assert.NilError(t, err)
			golden.AssertBytes(t, result, path.Join("golden", name, "result.json"))
		})
	}
}

// TestGoldenFile does the same for a file of its own.
func TestGoldenFile(t *testing.T) {
	for name, data := range map[string][]byte{"empty": {}, "some": goldenPayload(300)} {
		t.Run(name, func(t *testing.T) {
			disk := memfs.New(1)
			assert.NilError(t, SaveFile(disk, "file", data))
			golden.AssertBytes(t, readFile(t, disk, "file"), path.Join("golden", "saved", name))

			recorded := memfs.New(1)
			writeFile(t, recorded, "file", golden.Get(t, path.Join("golden", "saved", name)))
			loaded, err := LoadFile(recorded, "file")
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(loaded, data))
			names, err := disk.List()
			assert.NilError(t, err)
			assert.Assert(t, slices.Equal(names, []string{"file"}))
		})
	}
}
