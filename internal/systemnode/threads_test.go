package systemnode

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func TestDiskSyncDoesNotBlockTheOnlyProcessor(t *testing.T) {
	assert.Equal(t, threadsFor(1, true), 2)
	assert.Equal(t, threadsFor(4, true), 5)
}

func TestNoThreadIsAddedWithoutADisk(t *testing.T) {
	assert.Equal(t, threadsFor(1, false), 1)
	assert.Equal(t, threadsFor(4, false), 4)
}

func TestReserveDiskThreadsRaisesGOMAXPROCS(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	reserveDiskThreads(true)
	assert.Equal(t, runtime.GOMAXPROCS(0), before+1)
}
