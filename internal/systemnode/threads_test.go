package systemnode

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

func TestThreadsWithADiskLeaveAProcessorForTheRest(t *testing.T) {
	assert.Equal(t, threadsFor(1, true), 2)
	assert.Equal(t, threadsFor(4, true), 5)
}

func TestThreadsWithoutADiskAreTheProcessors(t *testing.T) {
	assert.Equal(t, threadsFor(1, false), 1)
	assert.Equal(t, threadsFor(4, false), 4)
}

func TestReservedDiskThreadsAreInForce(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(before)
	reserveDiskThreads(true)
	assert.Equal(t, runtime.GOMAXPROCS(0), before+1)
}
