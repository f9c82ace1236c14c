package simcluster

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scenario is a sequence of faults and operations in a cluster under load, with the service that the cluster must
// still provide.
type scenario struct {
	name    string
	options Options
	run     func(c *Cluster)
	// accepted is the minimum share of the clients' messages that must be accepted.
	accepted float64
	// ended is the minimum share of the accepted messages that must have ended when the cluster finishes. Messages for
	// services with a rate limit do not count, because they may have to wait longer.
	ended float64
}

// Each scenario runs with the seeds from 1 to fixedSeeds. To search for rare faults, the environment variable
// seedsVariable selects others, in the form "first,count".
const (
	fixedSeeds    = 2
	seedsVariable = "SIMCLUSTER_SEEDS"
)

// seeds returns the seeds to run each scenario with.
func seeds(t *testing.T) []uint64 {
	first, count := uint64(1), uint64(fixedSeeds)
	if requested := os.Getenv(seedsVariable); requested != "" {
		_, err := fmt.Sscanf(requested, "%d,%d", &first, &count)
		assert.NilError(t, err)
	}
	var chosen []uint64
	for seed := first; seed < first+count; seed++ {
		chosen = append(chosen, seed)
	}
	return chosen
}

func TestScenarios(t *testing.T) {
	for _, scenario := range scenarios {
		for _, seed := range seeds(t) {
			t.Run(fmt.Sprintf("%s/%d", scenario.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runScenario(t, scenario, seed) })
			})
		}
	}
}

func runScenario(t *testing.T, scenario scenario, seed uint64) {
	options := scenario.options
	options.Seed = seed
	options.Verbose = os.Getenv("SIMCLUSTER_VERBOSE") != ""
	c := New(t, options)
	t.Logf("the load starts at %v", c.recorder.now())
	scenario.run(c)
	history := c.Finish()
	for _, violation := range Audit(history) {
		t.Error(violation)
	}
	checkService(t, scenario, history)
}

// checkService checks that the cluster has accepted and ended the shares of messages that the scenario requires.
func checkService(t *testing.T, scenario scenario, history *History) {
	s := summarize(history)
	t.Logf("%d messages, %d accepted (%d without a rate limit, %d of these ended), %d arrivals, statuses %v, slowest 202 after %v",
		s.messages, s.accepted, s.unlimited, s.unlimited-len(s.waiting), len(history.Arrivals), s.statuses, s.slowest)
	for _, waiting := range s.waiting {
		t.Logf("has not ended: %s", waiting)
	}
	if got := float64(s.accepted) / float64(s.messages); got < scenario.accepted {
		t.Errorf("a share of %.3f of the messages was accepted, want at least %.3f", got, scenario.accepted)
	}
	if got := 1 - float64(len(s.waiting))/float64(s.unlimited); got < scenario.ended {
		t.Errorf("a share of %.3f of the accepted messages without a rate limit has ended, want at least %.3f", got,
			scenario.ended)
	}
}

// serviceSummary summarizes the service that a cluster has provided.
type serviceSummary struct {
	messages  int
	accepted  int
	unlimited int      // accepted messages for services without a rate limit
	waiting   []string // descriptions of the unlimited ones that have not ended
	statuses  map[int]int
	slowest   time.Duration // longest time from an attempt to its response 202
}

func summarize(history *History) serviceSummary {
	s := serviceSummary{statuses: make(map[int]int)}
	messages := make(map[time.Duration]bool)
	a := newAudit(history)
	for i := range history.Attempts {
		attempt := &history.Attempts[i]
		messages[attempt.FirstSent] = true
		s.statuses[attempt.Status]++
		if attempt.Accepted() {
			s.addAccepted(a, attempt)
		}
	}
	s.messages = len(messages)
	return s
}

func (s *serviceSummary) addAccepted(a *audit, attempt *Attempt) {
	s.accepted++
	s.slowest = max(s.slowest, attempt.AnsweredAt-attempt.SentAt)
	if attempt.Route == rateLimitedRoute {
		return
	}
	s.unlimited++
	if _, ended := a.endingOf(attempt); !ended {
		s.waiting = append(s.waiting, fmt.Sprintf("%s (%s) on route %s with key %q, sent at %v: %s", attempt.RequestID, attempt.MessageID,
			attempt.Route, attempt.OrderKey, attempt.SentAt, a.describeArrivals(attempt)))
	}
}
