// Package simulated is an in-memory network for tests. Hosts are connected by links with a delay. Tests can isolate and
// heal links, kill the process of a host, and power hosts off and on.
//
// The package is made for testing/synctest: create the network inside the bubble. Goroutines wait only on channels,
// condition variables and timers, so the bubble's clock advances while they wait.
//
// One mutex, Network.mutex, guards the state of all hosts, links, listeners and connections. The exported methods of
// Network and the methods that implement net.Conn, net.Listener and network.Network lock it. All other functions
// require that the caller holds it, unless their comment says that they lock it. The package starts no goroutine: a
// timer of each link delivers packets, and the timers of deadlines wake readers and writers.
//
// The seed determines the jitter of the delays. Each packet draws its own jitter, so packets that are sent at the same
// times and in the same order arrive at the same times.
//
// Start reading at Network, then at link for the transport of packets and at connection for the two ends.
package simulated
