// Counters of jobs and attempts, and the line that tells them.

package dispatch

import (
	"fmt"
	"strings"
	"sync/atomic"

	"gladepick/internal/decision"
)

// Counters is what the program counts. All may be read at any time.
type Counters struct {
	Accepted, Served, Rejected, Failed, Abandoned, Overflow atomic.Int64 // jobs
	Malformed                                               atomic.Int64 // messages of clients
	Sent                                                    atomic.Int64 // attempts
	Outcomes                                                [decision.NeverSent + 1]atomic.Int64
	Dialled, Reused                                         atomic.Int64 // worker connections
	ListChanges, ListFailures                               atomic.Int64
	Redelivered                                             atomic.Int64 // AMQP deliveries that joined or got a remembered outcome
	Captured, CaptureDropped                                atomic.Int64 // rows written to captures; rows that found no room or no disk
}

// Count is one counter by its name.
type Count struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// CountNames are the counters in their fixed order, which the MIB shares.
var CounterNames = []string{"taken", "served", "refused", "failed", "left", "overflow", "malformed", "sent", "ok", "error",
	"full", "timed_out", "connect_failed", "reset", "cancelled", "moot", "dialled", "reused", "roster_changes",
	"roster_failed", "redelivered", "open", "workers_ready", "workers_draining", "workers_gone", "captured", "capture_lost"}

// OutcomeName is the word that the counters have for an outcome.
func OutcomeName(o decision.Outcome) string { return CounterNames[firstOutcome+int(o-decision.OK)] }

// firstOutcome is where the outcomes begin in CountNames.
const firstOutcome = 8

// Counts reads all counters and gauges in the order of CountNames.
func (c *Core) Counts() []Count {
	k, w := c.Counters, c.WorkerCounts()
	values := []int64{k.Accepted.Load(), k.Served.Load(), k.Rejected.Load(), k.Failed.Load(), k.Abandoned.Load(), k.Overflow.Load(),
		k.Malformed.Load(), k.Sent.Load()}
	for o := decision.OK; o <= decision.NeverSent; o++ {
		values = append(values, k.Outcomes[o].Load())
	}
	values = append(values, k.Dialled.Load(), k.Reused.Load(), k.ListChanges.Load(), k.ListFailures.Load(),
		k.Redelivered.Load(), c.open.Load(), int64(w[decision.Ready]), int64(w[decision.Draining]), int64(w[decision.Gone]),
		k.Captured.Load(), k.CaptureDropped.Load())
	out := make([]Count, len(values))
	for i, v := range values {
		out[i] = Count{CounterNames[i], v}
	}
	return out
}

// Line is all counters on one line, for a log.
func (c *Core) CountersLine() string {
	var b strings.Builder
	for _, n := range c.Counts() {
		fmt.Fprintf(&b, " %s=%d", n.Name, n.Value)
	}
	return b.String()[1:]
}
