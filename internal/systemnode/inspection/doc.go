// Package inspection serves what operators see of a running system: a process's view of the cluster (status, members,
// partitions) as JSON, and the metrics of each process in the Prometheus text exposition format, version 0.0.4.
//
// Views are computed from a process's own snapshots (package cluster) when they are asked for, without a call to any other
// process, so they also work while the control group has no majority. Metrics of another process are fetched from it by an
// internal call, since stores have no HTTP listener. Nothing here changes the system.
//
// The names in the JSON and of the metrics are an interface: dashboards and scripts depend on them.
//
// A Registry has a lock and may be used from any goroutine; the package starts no goroutines. Start reading at NewHandler.
package inspection
