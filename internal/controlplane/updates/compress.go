package updates

import (
	"sync"

	"gladepick/internal/cluster"
)

// bodyCompressor compresses what leads to the current configuration, once for all processes that ask for the same.
type bodyCompressor struct {
	mutex      sync.Mutex
	version    uint64            // the configuration that the bodies lead to
	compressed map[uint64][]byte // by the version they start from; nil where compressing does not pay
}

// compress returns a body compressed, and false where that does not pay.
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
