package memfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs"
)

// readFile returns the contents of a file.
func readFile(t *testing.T, disk vfs.FS, name string) []byte {
	t.Helper()
	opened, err := disk.Open(name)
	assert.NilError(t, err)
	size, err := opened.Size()
	assert.NilError(t, err)
	contents := make([]byte, size)
	count, err := opened.ReadAt(contents, 0)
	assert.Assert(t, err == nil || errors.Is(err, io.EOF))
	assert.NilError(t, opened.Close())
	return contents[:count]
}

func TestDataSurvivesCrashAndSyncedDataSurvivesPowerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := New(1)
		file, err := disk.Create("file")
		assert.NilError(t, err)
		_, err = file.WriteAt([]byte("contents"), 0)
		assert.NilError(t, err)
		disk.Crash()
		assert.ErrorIs(t, file.Sync(), ErrPowerLost)
		assert.Equal(t, string(readFile(t, disk, "file")), "contents")

		mount := disk.Mount()
		file, err = mount.Open("file")
		assert.NilError(t, err)
		disk.SetSyncDelay(time.Second)
		assert.NilError(t, file.Sync())
		disk.PowerLoss()
		assert.Equal(t, string(readFile(t, disk, "file")), "contents")
		_, err = mount.Create("another")
		assert.ErrorIs(t, err, ErrPowerLost)

		disk.Wipe()
		_, err = disk.Open("file")
		assert.ErrorIs(t, err, fs.ErrNotExist)
	})
}

// TestPowerLossIsReproducible checks that a power loss leaves the same contents of unsynced files in each run with the
// same seed.
func TestPowerLossIsReproducible(t *testing.T) {
	const files, runs = 20, 10
	runOnce := func() (left []string) {
		disk := New(7)
		for number := range files {
			file, err := disk.Create(fmt.Sprint("file", number))
			assert.NilError(t, err)
			assert.NilError(t, file.Sync())
			_, err = file.WriteAt([]byte("contents that are not synced"), 0)
			assert.NilError(t, err)
		}
		disk.PowerLoss()
		for number := range files {
			left = append(left, string(readFile(t, disk, fmt.Sprint("file", number))))
		}
		return left
	}
	first := runOnce()
	for range runs {
		assert.DeepEqual(t, runOnce(), first)
	}
}
