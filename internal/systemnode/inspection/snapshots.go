package inspection

import (
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// Snapshots gives access to a process's snapshots of the configuration, the cluster table and the worker list.
// cluster.Agent implements it. Config and Table return nil until the first one has been received. WorkersReadAt returns
// the zero time until the worker list has been read.
type Snapshots interface {
	Config() *configuration.Document
	Table() *cluster.Table
	WorkerCount() int
	WorkersReadAt() time.Time
	LeaseValid() bool
}
