package controlplane

import (
	"sync"

	"gladepick/internal/cluster"
)

// bodyPacker compresses what leads to the current configuration, once for all processes that ask for the same.
type bodyPacker struct {
	mutex   sync.Mutex
	version uint64            // the configuration that the bodies lead to
	packed  map[uint64][]byte // by the version they start from; nil where compressing does not pay
}

// pack returns a body compressed, and false where that does not pay.
func (b *bodyPacker) pack(from, to uint64, body []byte) ([]byte, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.version != to || b.packed == nil {
		b.version = to
		b.packed = make(map[uint64][]byte)
	}
	packed, known := b.packed[from]
	if !known {
		packed, _ = cluster.Compress(body)
		b.packed[from] = packed
	}
	return packed, packed != nil
}
