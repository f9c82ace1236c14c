package updates

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUpdatesAreEncodedOnce(t *testing.T) {
	var cache encodeCache[uint64]
	first, err := cache.get(1, 2, "a")
	assert.NilError(t, err)
	again, err := cache.get(1, 2, "not encoded")
	assert.NilError(t, err)
	assert.Equal(t, string(first), string(again))
	later, err := cache.get(1, 3, "b")
	assert.NilError(t, err)
	assert.Equal(t, string(later), `"b"`)
}
