package controlplane

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io/fs"

	"github.com/gravitational/trace"

	"gladepick/internal/vfs"
	"gladepick/internal/wal"
)

const (
	diskIDFile  = "disk-id"
	diskIDBytes = 8
)

// DiskID returns the id of a disk. On first use of the disk it generates a random id and stores it there.
func DiskID(disk vfs.FS) (string, error) {
	known, err := wal.LoadFile(disk, diskIDFile)
	if err == nil {
		return string(known), nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return "", trace.Wrap(err)
	}
	random := make([]byte, diskIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", trace.Wrap(err)
	}
	id := hex.EncodeToString(random)
	return id, trace.Wrap(wal.SaveFile(disk, diskIDFile, []byte(id)))
}
