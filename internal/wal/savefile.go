package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"

	"github.com/gravitational/trace"
)

// The layout of a file written by SaveFile: magic (8 bytes), format version (4), length of the data (8), CRC-32C over
// length and data (4), data.
const (
	fileMagic       = "ivyfile\n"
	fileHeaderSize  = 24
	fileLengthStart = 12
	fileCheckStart  = 20
	temporarySuffix = ".tmp"
)

// SaveFile durably replaces a whole file. After a crash the file has either its old contents or the new ones.
func SaveFile(fs FS, name string, data []byte) error {
	temporary := name + temporarySuffix
	if err := writeWhole(fs, temporary, data); err != nil {
		_ = fs.Remove(temporary) // the first error counts; Open and the next SaveFile clear leftovers too
		return trace.Wrap(err)
	}
	if err := fs.Rename(temporary, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fs.SyncDir())
}

func writeWhole(fs FS, name string, data []byte) error {
	file, err := fs.Create(name)
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
// there is no such file, and errors.Is(err, ErrDamaged) where its checksum fails.
func LoadFile(fs FS, name string) ([]byte, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	contents, err := readWhole(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(contents) < fileHeaderSize {
		return nil, trace.Wrap(ErrDamaged)
	}
	data := contents[fileHeaderSize:]
	if newFileHeader(data) != [fileHeaderSize]byte(contents[:fileHeaderSize]) {
		return nil, trace.Wrap(ErrDamaged)
	}
	return data, nil
}

func readWhole(file File) ([]byte, error) {
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
