package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout of a segment file is a header followed by records; see docs/format/wal.md. Field sizes are in bytes.
//
//	header: magic (8), format version (4), segment number (8), CRC-32C over the preceding fields (4)
//	record: length of the payload (4), CRC-32C over length and payload (4), payload
//
// All integers are little-endian.
const (
	segmentMagic      = "ivyfseg\n" // from the project's former name; stored files contain it, so it never changes
	formatVersion     = 1
	segmentHeaderSize = 24
	recordHeaderSize  = 8
)

// MaxRecordBytes is the maximum size of a record's payload, in bytes.
const MaxRecordBytes = 64 << 20

// castagnoli is the table for all checksums (CRC-32C, RFC 3720 appendix B.4).
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendSegmentHeader(buffer []byte, number uint64) []byte {
	start := len(buffer)
	buffer = append(buffer, segmentMagic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, formatVersion)
	buffer = binary.LittleEndian.AppendUint64(buffer, number)
	checksum := crc32.Checksum(buffer[start:], castagnoli)
	return binary.LittleEndian.AppendUint32(buffer, checksum)
}

// validSegmentHeader reports whether a buffer begins with the header of the segment with the given number.
func validSegmentHeader(buffer []byte, number uint64) bool {
	var array [segmentHeaderSize]byte
	want := appendSegmentHeader(array[:0], number)
	return len(buffer) >= len(want) && string(buffer[:len(want)]) == string(want)
}
