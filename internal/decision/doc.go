// Package decision makes the decisions of a dispatcher that serves one submitter (a front of the dispatcher,
// or a store's delivery engine) and pushes its jobs to workers: which worker takes a job, whether a failed
// attempt is retried and where, and whether a job is admitted at all.
//
// A Dispatcher is a state machine without I/O. Its host tells it the time and one Event after the other
// through Dispatcher.Handle and carries out the Actions that come back. It owns no goroutine, lock, clock or
// connection, and is not safe for concurrent use. The same settings, seed and events always give the same
// actions, bit for bit: the order of random draws and of floating-point operations is part of the behaviour,
// and golden_test.go holds it.
//
// The interface is in settings.go, event.go, load_report.go and action.go. Each concern has a file, a type
// and the state that it owns, and uses only narrower ones, listed here from narrow to wide:
//
//	workers.go         the worker table: lists, drains, closing of idle connections
//	locality.go        which workers are in this dispatcher's zone
//	pools.go           the workers that a tenant's jobs go to first
//	learned_times.go   answer and run times by class, slowness by kind
//	slow_start.go      the share of its capacity that a warming worker has
//	load_estimate.go   slots in use at a worker, own ones and those of other dispatchers
//	start_delays.go    how long a job takes to start at an idle worker
//	forecast.go        the wait at a worker, the risk of a late answer, and what a job's value lets it risk
//	slow_start_budget.go
//	                   the jobs that a warming worker gets
//	send_gate.go       which attempts the rules of the deployment allow
//	health.go          unhealthy, failing and slow workers, and who keeps off them
//	picking.go         the choice of a worker: pools and kinds
//	power_of_two.go    the choice among workers of a kind: two are drawn, the better one is taken
//	key_affinity.go    the few workers that jobs with a key go to
//	quota.go           tenants that ask for more than their share
//	load_shedding.go   the share of jobs that is let in under overload
//	discovery_calls.go when the list of workers is asked for
//	jobs.go            jobs and attempts that are open
//	timers.go          the tokens by which timers are told apart
//
// The Dispatcher composes them: dispatcher.go takes events, arrivals.go admits, assigns and rejects jobs,
// attempts.go sends and cancels, outcomes.go learns from starts and outcomes, overdue.go looks at open jobs
// at each tick. Start reading at Dispatcher.Handle. docs/design.md has the rules in prose.
package decision
