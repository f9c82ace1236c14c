package replication

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/vfs/memfs"
)

func reopen(t *testing.T, disk *memfs.Disk) *witness {
	t.Helper()
	disk.PowerLoss()
	opened, err := openWitness(disk.Mount())
	assert.NilError(t, err)
	return opened
}

func TestPromisesSurvivePowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		disk := memfs.New(seed)
		w := reopen(t, disk)
		promised, err := w.promise(3, "a")
		assert.Assert(t, err == nil && promised)
		w = reopen(t, disk)
		for _, refused := range []struct {
			epoch uint64
			to    string
		}{{3, "b"}, {2, "a"}, {1, "c"}} {
			promised, err = w.promise(refused.epoch, refused.to)
			assert.Assert(t, err == nil && !promised)
			accepted, err := w.accept(View{Epoch: refused.epoch, Primary: refused.to})
			assert.Assert(t, err == nil && !accepted)
		}
		accepted, err := w.accept(View{Epoch: 3, Primary: "a", InSync: []string{"a"}})
		assert.Assert(t, err == nil && accepted)
		w = reopen(t, disk)
		assert.DeepEqual(t, w.record().Accepted, &View{Epoch: 3, Primary: "a", InSync: []string{"a"}})
		accepted, err = w.accept(View{Epoch: 5, Primary: "b"})
		assert.Assert(t, err == nil && accepted)
		promised, err = w.promise(5, "a")
		assert.Assert(t, err == nil && !promised)
	}
}

func TestWitnessWithoutDiskSpacePromisesNothing(t *testing.T) {
	disk := memfs.New(1)
	w := reopen(t, disk)
	disk.SetFull(true)
	_, err := w.promise(1, "a")
	assert.Assert(t, err != nil)
	assert.Equal(t, w.record().Promised, uint64(0))
	disk.SetFull(false)
	promised, err := w.promise(1, "b")
	assert.Assert(t, err == nil && promised)
}
