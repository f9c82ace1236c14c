// Package soak plays troubles on a small deployment of real processes and judges what its clients and workers saw. The
// processes are started with the commands of deploy/system.toml, on loopback addresses. The platform, the workers, the clients
// and the operator are stand-ins of this package.
//
// A Plan says what happens when: bursts of messages with quiet spans between them, and troubles of the machines. DrawPlan
// draws one from a seed. Play plays a plan and records a History. Judge holds the history against the rules of the service
// and returns a Violation for each breach.
//
// Processes take real time and real processors, so two plays of one plan are not the same. Start reading at Plan and Play.
package soak
