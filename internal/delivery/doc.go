// Package delivery hands committed messages to workers over HTTP/1.1 when they are due, in the order of their order keys
// and within the limits of their services.
//
// # The path of a message
//
// A message takes these steps through an Engine:
//
//   - Submitted: Engine.Submit pushes an event; the event loop adds the message to the backlog (enqueue.go, backlog.go).
//   - Due: it waits in the queue of its route until its due time has come and its backoff is over (route_queue.go).
//   - Ordered: of the messages with one order key in one partition, only the first may go on (order_group.go).
//   - Limited: the concurrency limit and the rate limiter of its service have capacity (service.go, concurrency_limit.go,
//     token_bucket.go).
//   - Permitted: its partition's gate is open and the owner allows deliveries of the partition; else the message is parked
//     (partition_gate.go, parking.go).
//   - Assigned: the decision module chooses an endpoint (decision_adapter.go, endpoint.go, endpoint_set.go).
//   - Sent: an attempt makes the request and classifies the answer (attempt.go, attempt_result.go, transport.go).
//   - Reported: the attempt's goroutine notifies the owner, which appends the result to its log and sends it to
//     the backups, without waiting for the disks.
//   - Applied: the event loop applies the result: the message has ended, the decision module sends it again, or it is
//     queued again after a backoff (apply_result.go).
//
// Messages also end without an attempt: when their retention is over or the operator drops their route (expiry.go,
// reconfigure.go).
//
// # Invariants
//
//   - Order: at most one message of an order key and partition is dispatched at any time, and the next follows after the
//     end of the one before. If that was an attempt's, the owner has been notified of it by then. After a release, this
//     relies on the owner to submit the messages again by their sequence numbers.
//   - Attempts: an answer 500 counts as one failure. The failure that reaches the route's limit ends the message; no other
//     result is counted.
//   - Rate: the attempts of a service keep to this store's part of its rate limit, with bursts of a few requests. An
//     attempt that is not made returns its token.
//   - Fencing: once Release, Pause or PausePartition has returned, no attempt of what it covers starts. An attempt that has
//     started ends, and its result is reported.
//   - Ends: the owner is notified once of the end of each message, unless the message was released before it ended.
//
// # Goroutines and locks
//
// Run's goroutine runs the event loop, which owns all state of the engine except what is named here: the event queue, the
// partition gates, the gauges and the published list of the endpoint set have a lock each. The exported methods only use
// those, so they never wait for the loop. No lock is held while the owner is called, or while another is taken; Stats
// alone asks the partition gates while it holds the gauges' lock. Each attempt has a goroutine of its own, and so has each
// batch of notifications; Run waits for all of them.
//
// Start reading at Engine.turn in loop.go.
package delivery
