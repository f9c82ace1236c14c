// Package decision makes the decisions of a dispatcher that stands beside a submitter and pushes its jobs to
// workers: which worker takes a job, whether a failed attempt is retried and where, and whether a job is let
// in at all.
//
// A Dispatcher is a state machine without I/O. Its host tells it the time and one Event after the other
// through Dispatcher.Handle and carries out the Actions that come back. It owns no goroutine, lock, clock or
// connection, and is not safe for concurrent use. The same settings, seed and events always give the same
// actions, bit for bit: the order of random draws and of floating-point operations is part of the behaviour,
// and golden_test.go holds it.
//
// The interface is in settings.go, event.go, load_report.go and action.go; every decision is in the files listed as
// policy in deploy/balancer.toml. Start reading at Dispatcher.Handle. docs/design.md has the rules in prose.
package decision
