package updates

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// TestBodiesAreCompressedOnce checks that all callers with the same version receive the same compressed bytes.
func TestBodiesAreCompressedOnce(t *testing.T) {
	var compressor bodyCompressor
	body := []byte(strings.Repeat(`{"name":"r-1","path-prefix":"/p/"},`, 1000))
	first, pays := compressor.compress(3, 5, body)
	assert.Assert(t, pays)
	second, _ := compressor.compress(3, 5, body)
	assert.Assert(t, &first[0] == &second[0])
	decompressed, err := cluster.Decompress(first)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(decompressed, body))
	_, pays = compressor.compress(5, 6, []byte("{}"))
	assert.Assert(t, !pays)
	assert.Equal(t, len(compressor.compressed), 1, "bodies that lead to older versions are dropped")
}
