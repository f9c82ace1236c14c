package controlplane

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// TestBodiesAreCompressedOnce checks that all who ask for the same step get the same compressed bytes.
func TestBodiesAreCompressedOnce(t *testing.T) {
	var packer bodyPacker
	body := []byte(strings.Repeat(`{"name":"r-1","path-prefix":"/p/"},`, 1000))
	first, pays := packer.pack(3, 5, body)
	assert.Assert(t, pays)
	second, _ := packer.pack(3, 5, body)
	assert.Assert(t, &first[0] == &second[0])
	unpacked, err := cluster.Decompress(first)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(unpacked, body))
	_, pays = packer.pack(5, 6, []byte("{}"))
	assert.Assert(t, !pays)
	assert.Equal(t, len(packer.packed), 1, "steps to older versions are forgotten")
}
