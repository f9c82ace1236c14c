package updates

import (
	"encoding/json"
	"sync"
)

// encodeCache caches the JSON of the updates that lead from older versions to the newest one. Many processes hold the
// same version and sync at the same time, so an update is encoded once for all of them. The zero value is ready to use.
type encodeCache[Version comparable] struct {
	mutex   sync.Mutex
	to      Version
	encoded map[Version]json.RawMessage
}

// get returns the JSON of the update from one version to another. It encodes value only if the cache does not hold that
// update. A call with another newest version clears the cache.
func (c *encodeCache[Version]) get(from, to Version, value any) (json.RawMessage, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.encoded == nil || c.to != to {
		c.to = to
		c.encoded = make(map[Version]json.RawMessage)
	}
	if encoded, known := c.encoded[from]; known {
		return encoded, nil
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	c.encoded[from] = encoded
	return encoded, nil
}
