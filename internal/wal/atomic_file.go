package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
)

// The layout of a file written by SaveFile: magic (8 bytes), format version (4 bytes), length of the data (8 bytes),
// CRC-32C over the preceding fields and the data (4 bytes), data. All integers are little-endian.
const (
	fileMagic          = "ivyfile\n" // the project's former name; stored files contain it, so it never changes
	fileHeaderSize     = 24
	fileLengthOffset   = 12
	fileChecksumOffset = 20
)

// SaveFile durably replaces a file or creates it. After a crash the file holds either its old data or the new data.
func SaveFile(directory vfs.FS, name string, data []byte) error {
	temporary := name + temporarySuffix
	if err := writeNewFile(directory, temporary, data); err != nil {
		// The first error counts: the next SaveFile overwrites a leftover, and Open removes those of snapshots.
		_ = directory.Remove(temporary)
		return trace.Wrap(err)
	}
	if err := directory.Rename(temporary, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(directory.SyncDir())
}

// writeNewFile creates a file with a header and data, and syncs it. The caller syncs the directory.
func writeNewFile(directory vfs.FS, name string, data []byte) error {
	file, err := directory.Create(name)
	if err != nil {
		return err
	}
	header := newFileHeader(data)
	_, err = file.WriteAt(header[:], 0)
	if err == nil {
		_, err = file.WriteAt(data, fileHeaderSize)
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// LoadFile returns the data of a file written by SaveFile. The error satisfies errors.Is(err, fs.ErrNotExist) if the
// file does not exist, and errors.Is(err, ErrCorrupt) if its header or its checksum is invalid.
func LoadFile(directory vfs.FS, name string) ([]byte, error) {
	file, err := directory.Open(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	contents, err := readContents(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(contents) < fileHeaderSize {
		return nil, trace.Wrap(ErrCorrupt)
	}
	data := contents[fileHeaderSize:]
	if newFileHeader(data) != [fileHeaderSize]byte(contents[:fileHeaderSize]) {
		return nil, trace.Wrap(ErrCorrupt)
	}
	return data, nil
}

func readContents(file vfs.File) ([]byte, error) {
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	contents := make([]byte, size)
	count, err := file.ReadAt(contents, 0)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return contents[:count], err
}

// newFileHeader returns the header of a file that holds the given data.
func newFileHeader(data []byte) [fileHeaderSize]byte {
	var header [fileHeaderSize]byte
	copy(header[:], fileMagic)
	binary.LittleEndian.PutUint32(header[len(fileMagic):], formatVersion)
	binary.LittleEndian.PutUint64(header[fileLengthOffset:], uint64(len(data)))
	checksum := crc32.Checksum(header[:fileChecksumOffset], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, data)
	binary.LittleEndian.PutUint32(header[fileChecksumOffset:], checksum)
	return header
}
