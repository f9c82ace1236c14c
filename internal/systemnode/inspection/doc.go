// Package inspection serves the read-only calls with which operators inspect a running system. The status, the members
// and the partitions are returned as JSON, as the answering process sees them. The metrics of each process are returned
// in the Prometheus text exposition format, version 0.0.4.
//
// The views are computed on request from the process's own snapshots (package cluster), without a call to another
// process. Therefore they also work while the control group has no majority. Stores have no HTTP listener, so the
// metrics of another process are fetched from it by an internal call. No call changes the system.
//
// The JSON names and the metric names are an interface: dashboards and scripts depend on them.
//
// A Registry is safe for concurrent use. The package starts no goroutines. Start reading at NewHandler.
package inspection
