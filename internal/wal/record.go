package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// recordHeader is the encoded header of one record.
type recordHeader [recordHeaderSize]byte

// newRecordHeader returns the header of a record. The parts, concatenated, are its payload; length is their total size
// in bytes.
func newRecordHeader(length int, parts [][]byte) recordHeader {
	var header recordHeader
	binary.LittleEndian.PutUint32(header[:4], uint32(length))
	checksum := crc32.Checksum(header[:4], castagnoli)
	for _, part := range parts {
		checksum = crc32.Update(checksum, castagnoli, part)
	}
	binary.LittleEndian.PutUint32(header[4:], checksum)
	return header
}

// length returns the length of the payload according to the header, in bytes.
func (h recordHeader) length() int64 { return int64(binary.LittleEndian.Uint32(h[:4])) }

// matches reports whether the header's checksum is valid for the payload.
func (h recordHeader) matches(payload []byte) bool {
	checksum := crc32.Checksum(h[:4], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, payload)
	return checksum == binary.LittleEndian.Uint32(h[4:])
}
