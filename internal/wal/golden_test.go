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

// The files under testdata/golden were written by the oldest version with which the format is compatible. Every later
// version must read them with the recorded result, and must encode the same records as the same bytes. The command
//
//	go test ./internal/wal -run TestGolden -update
//
// writes them. They may change only together with formatVersion.

const goldenSegmentBytes = 400

// goldenCase describes how a log directory is written, and how its files are damaged afterwards.
type goldenCase struct {
	write  func(t *testing.T, disk *memfs.Disk)
	damage func(files map[string][]byte) // nil if the files are not damaged
}

// goldenRecord is a replayed record.
type goldenRecord struct {
	Position Position `json:"position"`
	Payload  []byte   `json:"payload"`
}

// goldenResult is the result of opening a log directory.
type goldenResult struct {
	Damaged  bool             `json:"damaged"` // Open returned ErrCorrupt
	Snapshot []byte           `json:"snapshot"`
	Records  []goldenRecord   `json:"records"`
	Sizes    map[string]int64 `json:"sizes"` // of the files after Open and Close, in bytes, by name
}

// goldenPayload returns a payload of the given size in bytes. A payload of 256 bytes or more has every byte value.
func goldenPayload(size int) []byte {
	payload := make([]byte, size)
	for i := range payload {
		payload[i] = byte(i*7 + size)
	}
	return payload
}

func appendRecordsOfSizes(t *testing.T, log *Log, sizes ...int) {
	t.Helper()
	for _, size := range sizes {
		payload := goldenPayload(size)
		_, err := log.AppendParts(payload[:size/3], payload[size/3:])
		assert.NilError(t, err)
	}
}

// writeSegments writes records of several sizes: an empty one, one of a single byte, several that share a segment, and
// one that is larger than a segment.
func writeSegments(t *testing.T, disk *memfs.Disk) {
	log, _ := openLog(t, disk, goldenSegmentBytes)
	appendRecordsOfSizes(t, log, 0, 1, 7, 150, 100)
	syncLog(t, log)
	appendRecordsOfSizes(t, log, 600, 33)
	assert.NilError(t, log.Close())
}

// writeSnapshots writes two snapshots, with records before, between and after them.
func writeSnapshots(t *testing.T, disk *memfs.Disk) {
	log, _ := openLog(t, disk, goldenSegmentBytes)
	appendRecordsOfSizes(t, log, 20, 30)
	assert.NilError(t, log.WriteSnapshot(goldenPayload(50)))
	appendRecordsOfSizes(t, log, 40)
	assert.NilError(t, log.WriteSnapshot(goldenPayload(90)))
	appendRecordsOfSizes(t, log, 60, 250, 80)
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

// readDisk returns the contents of all files by name.
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

// openGolden copies a recorded directory to a disk, opens a log on it and returns the result.
func openGolden(t *testing.T, folder string) goldenResult {
	t.Helper()
	disk := memfs.New(1)
	entries, err := os.ReadDir(golden.Path(folder))
	assert.NilError(t, err)
	for _, entry := range entries {
		writeFile(t, disk, entry.Name(), golden.Get(t, path.Join(folder, entry.Name())))
	}
	found := &recoveredData{}
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

// TestGoldenLogs guards the format of segments and snapshots: each directory is written with the recorded bytes, and
// opening the recorded files gives the recorded result.
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

// TestGoldenFile guards the format of files written by SaveFile: the bytes equal the recorded ones, and LoadFile reads
// the recorded file.
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
