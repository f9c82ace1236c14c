package cluster

// Worker is an entry of the platform's list of workers.
type Worker struct {
	ID                string `json:"id"`
	Service           string `json:"service"`
	Address           string `json:"address"`
	Zone              string `json:"zone"`
	Version           string `json:"version,omitempty"`
	Capacity          int    `json:"capacity"`
	Draining          bool   `json:"draining,omitempty"`
	WarmupRemainingMS int64  `json:"warmupLeftMs,omitempty"` // rest of its warm-up time, in milliseconds, as the platform reported it
}
