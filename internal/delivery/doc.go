// Package delivery sends committed messages to workers over HTTP/1.1. It sends each message when it is due, keeps the
// messages of an order key in order, and keeps to the limits of each service.
//
// # The path of a message
//
// A message passes through these steps in an Engine:
//
//   - Submitted: Engine.Submit pushes an event. The event loop adds the message to the backlog (enqueue.go,
//     backlog.go).
//   - Due: the message waits in the queue of its route until its due time has come and its backoff has elapsed
//     (route_queue.go).
//   - Ordered: of the messages with one order key in one partition, only the first may be dispatched (order_group.go).
//   - Limited: the message waits until the concurrency limit and the rate limiter of its service have capacity
//     (service.go, concurrency_limit.go, token_bucket.go).
//   - Permitted: if the gate of the partition is closed or the owner does not allow deliveries of the partition, the
//     message is parked (partition_gate.go, parking.go).
//   - Assigned: the decision module chooses an endpoint (decision_adapter.go, endpoint.go, endpoint_set.go).
//   - Sent: an attempt sends the request and classifies the response (attempt.go, attempt_result.go, transport.go).
//   - Reported: the attempt's goroutine notifies the owner. The owner appends the result to its log and sends it to the
//     backups, without waiting for the disks.
//   - Applied: the event loop applies the result. Either the message has ended, or the decision module sends it again,
//     or it is queued again after a backoff (apply_result.go).
//
// A message also ends without an attempt when its retention has expired or when the operator removes its route
// (expiry.go, reconfigure.go).
//
// # Invariants
//
//   - Order: at most one message of an order key and partition is dispatched at any time. The next message is
//     dispatched only after that one has ended. If an attempt ended it, the owner has been notified of the end by then.
//     After a release, the order holds only if the owner submits the messages again by their sequence numbers.
//   - Attempts: a response with status 500 counts as one failure. The failure that reaches the route's limit ends the
//     message. No other result counts as a failure.
//   - Rate: the attempts at a service keep to this store's part of the service's rate limit, with bursts of a few
//     requests. An attempt that is not made returns its token.
//   - Fencing: once Release, Pause or PausePartition has returned, no attempt that it covers starts. An attempt that
//     has already started runs to its end, and its result is reported.
//   - Ends: the owner is notified exactly once of the end of each message, unless the message was released before it
//     ended.
//
// # Goroutines and locks
//
// The goroutine that calls Run runs the event loop. The loop owns all state of the engine except the event queue, the
// partition gates, the gauges and the published list of the endpoint set, which have a lock each. The exported methods
// use only these four, so they never wait for the loop. No lock is held during a call to the owner or while another
// lock is taken, with one exception: Stats reads the partition gates while it holds the lock of the gauges. Each
// attempt and each batch of notifications runs on a goroutine of its own. Run waits for all of them.
//
// Start reading at Engine.turn in loop.go.
package delivery
