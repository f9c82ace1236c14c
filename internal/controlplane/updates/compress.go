package updates

import (
	"sync"

	"gladepick/internal/cluster"
)

// bodyCompressor compresses the updates that lead to the current configuration. It compresses each of them once for all
// processes that hold the same version. The zero value is ready to use.
type bodyCompressor struct {
	mutex      sync.Mutex
	version    uint64            // of the configuration that the bodies lead to
	compressed map[uint64][]byte // by the version that a body starts from; nil if the body is small or does not shrink
}

// compress returns the compressed form of the body that leads from one version to another, and false if the body is
// small or does not shrink.
func (c *bodyCompressor) compress(from, to uint64, body []byte) ([]byte, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.version != to || c.compressed == nil {
		c.version = to
		c.compressed = make(map[uint64][]byte)
	}
	compressed, known := c.compressed[from]
	if !known {
		compressed, _ = cluster.Compress(body)
		c.compressed[from] = compressed
	}
	return compressed, compressed != nil
}
