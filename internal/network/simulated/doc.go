// Package simulated is an in-memory network for tests. Hosts are connected by links with a delay, which can be isolated
// and healed; hosts can be killed and lose their power.
//
// It is made for the bubbles of testing/synctest: create the network inside the bubble. All waiting is on condition
// variables and timers, so the bubble's clock advances while connections wait.
//
// One mutex, Network.mutex, guards everything: hosts, links, listeners and connections. The methods that implement
// net.Conn, net.Listener and network.Network lock it; the others are called with it locked, unless their comment says that
// they lock it. The package starts no goroutine: a timer of each link delivers packets, and timers of deadlines wake readers
// and writers.
//
// The seed decides the jitter of delays. Each packet draws its own, so the same sends in the same order arrive at the same
// times.
//
// Start reading at Network, then link for the way of a packet and connection for what arrives at its end.
package simulated
