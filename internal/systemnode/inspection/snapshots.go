package inspection

import (
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// Snapshots are what a process knows of the system. cluster.Agent implements it. Config and Table are nil as long
// as nothing is known.
type Snapshots interface {
	Config() *configuration.Document
	Table() *cluster.Table
	WorkerCount() int
	WorkersReadAt() time.Time
	LeaseValid() bool
}
