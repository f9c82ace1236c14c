package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"

	"gladepick/internal/decision"
)

// Counters holds a dispatcher's counters since its start. Any goroutine may read and add to them at any time.
type Counters struct {
	Accepted  atomic.Int64 // jobs accepted
	Served    atomic.Int64 // jobs answered with a result
	Rejected  atomic.Int64 // jobs answered with Rejected
	Failed    atomic.Int64 // jobs answered with Failed
	Abandoned atomic.Int64 // jobs whose client disconnected before the answer
	Overflow  atomic.Int64 // jobs not accepted because a limit was reached
	Malformed atomic.Int64 // client messages that are not a valid job

	Sent     atomic.Int64                         // attempts sent
	Outcomes [decision.NeverSent + 1]atomic.Int64 // attempts, by outcome

	Dialled atomic.Int64 // connections to workers that were established
	Reused  atomic.Int64 // attempts on pooled connections

	ListChanges  atomic.Int64 // lists of workers received, complete lists and changes
	ListFailures atomic.Int64 // calls to discovery that ended

	Redelivered atomic.Int64 // AMQP deliveries that joined an open job or got the outcome of a past one

	Captured       atomic.Int64 // rows written to captures
	CaptureDropped atomic.Int64 // capture rows dropped because of a full queue or a disk error
}

// Count is the name and value of one counter or gauge.
type Count struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// CounterNames lists the names of the counters and gauges. The SNMP MIB relies on their order.
var CounterNames = []string{
	"taken", "served", "refused", "failed", "left", "overflow", "malformed", "sent",
	"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot",
	"dialled", "reused", "roster_changes", "roster_failed", "redelivered",
	"open", "workers_ready", "workers_draining", "workers_gone", "captured", "capture_lost",
}

// firstOutcome is the index of the first attempt outcome, decision.OK, in CounterNames.
const firstOutcome = 8

// OutcomeName returns the counter name of an outcome.
func OutcomeName(o decision.Outcome) string { return CounterNames[firstOutcome+int(o-decision.OK)] }

// Counts returns all counters and gauges in the order of CounterNames.
func (c *Core) Counts() []Count {
	counters, workers := c.Counters, c.WorkerCounts()
	values := []int64{
		counters.Accepted.Load(), counters.Served.Load(), counters.Rejected.Load(), counters.Failed.Load(),
		counters.Abandoned.Load(), counters.Overflow.Load(), counters.Malformed.Load(), counters.Sent.Load(),
	}
	for o := decision.OK; o <= decision.NeverSent; o++ {
		values = append(values, counters.Outcomes[o].Load())
	}
	values = append(values,
		counters.Dialled.Load(), counters.Reused.Load(), counters.ListChanges.Load(), counters.ListFailures.Load(), counters.Redelivered.Load(),
		c.openJobs.Load(), int64(workers[decision.Ready]), int64(workers[decision.Draining]), int64(workers[decision.Gone]),
		counters.Captured.Load(), counters.CaptureDropped.Load(),
	)
	out := make([]Count, len(values))
	for i, v := range values {
		out[i] = Count{CounterNames[i], v}
	}
	return out
}

// CountersLine returns all counters and gauges on one line for the log, as "name=value name=value".
func (c *Core) CountersLine() string {
	var b strings.Builder
	for _, n := range c.Counts() {
		fmt.Fprintf(&b, " %s=%d", n.Name, n.Value)
	}
	return b.String()[1:]
}
