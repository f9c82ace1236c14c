package cluster_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func TestDecompressRestoresCompressedBodies(t *testing.T) {
	body := []byte(strings.Repeat(`{"name":"r-1","host":"h.example","path-prefix":"/a/"},`, 2000))
	compressed, ok := cluster.Compress(body)
	assert.Assert(t, ok)
	assert.Assert(t, len(compressed) < len(body)/10)
	decompressed, err := cluster.Decompress(compressed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(decompressed, body))
}

func TestBodiesThatDoNotShrinkStayUncompressed(t *testing.T) {
	_, ok := cluster.Compress([]byte("short"))
	assert.Assert(t, !ok)
	noise := make([]byte, 64<<10)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range noise {
		noise[i] = byte(random.Uint32())
	}
	_, ok = cluster.Compress(noise)
	assert.Assert(t, !ok)
}

func TestMalformedCompressedBodyIsRejected(t *testing.T) {
	_, err := cluster.Decompress([]byte("no such thing"))
	assert.Assert(t, err != nil)
}
