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
	WarmupRemainingMS int64  `json:"warmupLeftMs,omitempty"` // remaining warm-up time in ms, as the platform reported it
}
