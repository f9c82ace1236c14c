package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// The layout of a segment file, which docs/format/wal.md describes: a header, then records.
//
//	header: magic (8 bytes), format version (4), segment number (8), CRC-32C of these (4)
//	record: length of the payload (4), CRC-32C over length and payload (4), payload
//
// All integers are little-endian.
const (
	segmentMagic      = "ivyfseg\n" // from the project's former name; it is on disk, so it never changes
	formatVersion     = 1
	segmentHeaderSize = 24
	recordHeaderSize  = 8
)

// MaxRecordBytes is the largest payload of one record.
const MaxRecordBytes = 64 << 20

// castagnoli is the polynomial of all checksums (CRC-32C, RFC 3720 appendix B.4).
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendSegmentHeader appends the header of a segment file to a buffer.
func appendSegmentHeader(buffer []byte, number uint64) []byte {
	start := len(buffer)
	buffer = append(buffer, segmentMagic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, formatVersion)
	buffer = binary.LittleEndian.AppendUint64(buffer, number)
	checksum := crc32.Checksum(buffer[start:], castagnoli)
	return binary.LittleEndian.AppendUint32(buffer, checksum)
}

// validSegmentHeader tells whether a buffer begins with the header of the segment with this number.
func validSegmentHeader(buffer []byte, number uint64) bool {
	var space [segmentHeaderSize]byte
	want := appendSegmentHeader(space[:0], number)
	return len(buffer) >= len(want) && string(buffer[:len(want)]) == string(want)
}
