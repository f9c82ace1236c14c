package updates

import (
	"encoding/json"
	"sync"
)

// encodeCache keeps the JSON of what leads from older versions to the newest one. Many processes hold the same version
// and ask at the same moment: it is encoded once for all of them. The zero value is ready to use.
type encodeCache[Version comparable] struct {
	mutex   sync.Mutex
	to      Version
	encoded map[Version]json.RawMessage
}

// get returns the JSON of what leads from one version to another.
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
