// Package scale runs thousands of hollow dispatchers against a real control group and measures what they cost.
//
// A hollow dispatcher runs the client side of the control plane (cluster.Agent) and announces itself as a store, but
// keeps and delivers no messages. All of them share one process. The control group runs beside them: as processes of
// its own on loopback addresses in the command gladepick-scale, in the same process in tests.
package scale
