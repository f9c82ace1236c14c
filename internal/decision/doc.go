// Package decision makes the decisions of a dispatcher that serves one submitter (a front of the dispatcher,
// or a store's delivery engine) and pushes its jobs to workers: which worker takes a job, whether a failed
// attempt is retried and where, and whether a job is admitted at all.
//
// A Dispatcher is a state machine without I/O. The host passes the time and each Event to Dispatcher.Handle
// and carries out the Actions that it returns. A Dispatcher owns no goroutine, lock, clock or connection, and
// is not safe for concurrent use. The same settings, seed and events always produce the same actions, bit for
// bit: the order of random draws and of floating-point operations is part of the behaviour, and
// golden_test.go checks it.
//
// The interface is in settings.go, event.go, load_report.go and action.go. Each component has its own file,
// type and state, and depends only on components of narrower scope. From narrow to wide they are:
//
//	workers.go         the worker table: list updates, draining, closing of idle connections
//	locality.go        which workers are in this dispatcher's zone
//	pools.go           the workers that a tenant's jobs go to first
//	learned_times.go   answer and run times by class, slowness by kind
//	slow_start.go      the share of its capacity that a warming-up worker has
//	load_estimate.go   slots in use at a worker, by this dispatcher and by others
//	start_delays.go    how long a job takes to start at an idle worker
//	forecast.go        expected wait and risk of a late answer at a worker, and the limits on both by job value
//	slow_start_budget.go
//	                   the rate of jobs to a warming-up worker
//	send_gate.go       which attempts the settings of the deployment allow
//	health.go          unhealthy, failing and slow workers, and which jobs avoid them
//	picking.go         the choice of a worker: pools and kinds
//	power_of_two.go    the choice among the workers of a kind: the better one of two random ones
//	key_affinity.go    the few workers that serve the jobs of a key
//	quota.go           tenants that send more than their share
//	load_shedding.go   the share of jobs that is admitted under overload
//	discovery_calls.go when the dispatcher requests the list of workers
//	jobs.go            open jobs and their attempts
//	timers.go          the tokens that identify timers
//
// The Dispatcher combines them: dispatcher.go dispatches events, arrivals.go admits, assigns and rejects
// jobs, attempts.go sends and cancels attempts, outcomes.go handles starts and outcomes, and overdue.go
// checks the open jobs at each tick. Start reading at Dispatcher.Handle. docs/design.md explains the rules.
package decision
