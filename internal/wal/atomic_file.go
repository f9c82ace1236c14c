package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
)

// The layout of a file written by SaveFile: magic (8 bytes), format version (4), length of the data (8), CRC-32C over all
// of these and the data (4), data. All integers are little-endian.
const (
	fileMagic       = "ivyfile\n" // from the project's former name; it is on disk, so it never changes
	fileHeaderSize  = 24
	fileLengthStart = 12
	fileCheckStart  = 20
)

// SaveFile durably replaces a whole file. After a crash the file has either its old contents or the new ones.
func SaveFile(directory vfs.FS, name string, data []byte) error {
	temporary := name + temporarySuffix
	if err := writeWhole(directory, temporary, data); err != nil {
		_ = directory.Remove(temporary) // the first error counts; Open and the next SaveFile clear leftovers too
		return trace.Wrap(err)
	}
	if err := directory.Rename(temporary, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(directory.SyncDir())
}

// writeWhole makes a file with a header and data, and makes both durable.
func writeWhole(directory vfs.FS, name string, data []byte) error {
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

// LoadFile returns the data of a file written by SaveFile. The error satisfies errors.Is(err, fs.ErrNotExist) where
// there is no such file, and errors.Is(err, ErrCorrupt) where its checksum fails.
func LoadFile(directory vfs.FS, name string) ([]byte, error) {
	file, err := directory.Open(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	contents, err := readWhole(file)
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

// readWhole returns the contents of a file.
func readWhole(file vfs.File) ([]byte, error) {
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

// newFileHeader returns the header of a file with this data.
func newFileHeader(data []byte) [fileHeaderSize]byte {
	var header [fileHeaderSize]byte
	copy(header[:], fileMagic)
	binary.LittleEndian.PutUint32(header[len(fileMagic):], formatVersion)
	binary.LittleEndian.PutUint64(header[fileLengthStart:], uint64(len(data)))
	checksum := crc32.Checksum(header[:fileCheckStart], castagnoli)
	checksum = crc32.Update(checksum, castagnoli, data)
	binary.LittleEndian.PutUint32(header[fileCheckStart:], checksum)
	return header
}
