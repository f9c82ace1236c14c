package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"

	"gladepick/internal/decision"
)

// Counters is what a dispatcher counts since its start. All goroutines may read and add at any time.
type Counters struct {
	Accepted  atomic.Int64 // jobs that were taken
	Served    atomic.Int64 // jobs answered with a result
	Rejected  atomic.Int64 // jobs answered with Rejected
	Failed    atomic.Int64 // jobs answered with Failed
	Abandoned atomic.Int64 // jobs whose client went before the answer
	Overflow  atomic.Int64 // jobs that were not taken for want of room
	Malformed atomic.Int64 // messages of clients that are no job

	Sent     atomic.Int64                         // attempts
	Outcomes [decision.NeverSent + 1]atomic.Int64 // attempts, by how they ended

	Dialled atomic.Int64 // connections to workers that came up
	Reused  atomic.Int64 // attempts on connections that were open

	ListChanges  atomic.Int64 // lists of workers, complete or of what changed
	ListFailures atomic.Int64 // calls to discovery that ended

	Redelivered atomic.Int64 // AMQP deliveries that joined or got a remembered outcome

	Captured       atomic.Int64 // rows written to captures
	CaptureDropped atomic.Int64 // rows that found no room or no disk
}

// Count is one counter or gauge by its name.
type Count struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// CounterNames are the counters and gauges in their fixed order, which the MIB shares.
var CounterNames = []string{
	"taken", "served", "refused", "failed", "left", "overflow", "malformed", "sent",
	"ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot",
	"dialled", "reused", "roster_changes", "roster_failed", "redelivered",
	"open", "workers_ready", "workers_draining", "workers_gone", "captured", "capture_lost",
}

// firstOutcome is where the outcomes begin in CounterNames.
const firstOutcome = 8

// OutcomeName returns the name of the counter of an outcome.
func OutcomeName(o decision.Outcome) string { return CounterNames[firstOutcome+int(o-decision.OK)] }

// Counts returns all counters and gauges in the order of CounterNames.
func (c *Core) Counts() []Count {
	k, w := c.Counters, c.WorkerCounts()
	values := []int64{
		k.Accepted.Load(), k.Served.Load(), k.Rejected.Load(), k.Failed.Load(),
		k.Abandoned.Load(), k.Overflow.Load(), k.Malformed.Load(), k.Sent.Load(),
	}
	for o := decision.OK; o <= decision.NeverSent; o++ {
		values = append(values, k.Outcomes[o].Load())
	}
	values = append(values,
		k.Dialled.Load(), k.Reused.Load(), k.ListChanges.Load(), k.ListFailures.Load(), k.Redelivered.Load(),
		c.openJobs.Load(), int64(w[decision.Ready]), int64(w[decision.Draining]), int64(w[decision.Gone]),
		k.Captured.Load(), k.CaptureDropped.Load(),
	)
	out := make([]Count, len(values))
	for i, v := range values {
		out[i] = Count{CounterNames[i], v}
	}
	return out
}

// CountersLine returns all counters and gauges on one line, for a log.
func (c *Core) CountersLine() string {
	var b strings.Builder
	for _, n := range c.Counts() {
		fmt.Fprintf(&b, " %s=%d", n.Name, n.Value)
	}
	return b.String()[1:]
}
