package simcluster

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scenario is a sequence of events in a cluster under load, with what the cluster has to achieve.
type scenario struct {
	name    string
	options Options
	play    func(c *Cluster)
	// accepted is the least part of the clients' messages that must be accepted.
	accepted float64
	// ended is the least part of the accepted messages that must have ended when the day is over. Messages for services
	// with a rate limit do not count: they may have to wait for longer.
	ended float64
}

// fixedSeeds is how many seeds each scenario is run with. The environment variable may name others, to look for rare
// faults: the first seed and how many.
const (
	fixedSeeds    = 2
	seedsVariable = "SIMCLUSTER_SEEDS"
)

func seeds(t *testing.T) []uint64 {
	first, count := uint64(1), uint64(fixedSeeds)
	if wanted := os.Getenv(seedsVariable); wanted != "" {
		_, err := fmt.Sscanf(wanted, "%d,%d", &first, &count)
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
				synctest.Test(t, func(t *testing.T) { playScenario(t, scenario, seed) })
			})
		}
	}
}

func playScenario(t *testing.T, scenario scenario, seed uint64) {
	options := scenario.options
	options.Seed = seed
	options.Verbose = os.Getenv("SIMCLUSTER_VERBOSE") != ""
	c := New(t, options)
	t.Logf("the load begins at %v", c.recorder.now())
	scenario.play(c)
	history := c.Finish()
	for _, violation := range Audit(history) {
		t.Error(violation)
	}
	checkService(t, scenario, history)
}

// checkService checks that the cluster has accepted and completed enough messages.
func checkService(t *testing.T, scenario scenario, history *History) {
	s := serviceOf(history)
	t.Logf("%d messages, %d accepted, %d of them without a rate limit, %d of these ended, %d arrivals, answers %v, slowest 202 %v",
		s.messages, s.accepted, s.unlimited, s.unlimited-len(s.waiting), len(history.Arrivals), s.statuses, s.slowest)
	for _, waiting := range s.waiting {
		t.Logf("not ended: %s", waiting)
	}
	if got := float64(s.accepted) / float64(s.messages); got < scenario.accepted {
		t.Errorf("%.3f of the messages were accepted, %.3f are wanted", got, scenario.accepted)
	}
	if got := 1 - float64(len(s.waiting))/float64(s.unlimited); got < scenario.ended {
		t.Errorf("%.3f of the accepted messages have ended, %.3f are wanted", got, scenario.ended)
	}
}

// service sums up how a cluster has served.
type service struct {
	messages  int
	accepted  int
	unlimited int      // of the accepted, those for services without a rate limit
	waiting   []string // of the unlimited, those that have not ended
	statuses  map[int]int
	slowest   time.Duration // from sending to 202
}

func serviceOf(history *History) service {
	s := service{statuses: make(map[int]int)}
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

func (s *service) addAccepted(a *audit, attempt *Attempt) {
	s.accepted++
	s.slowest = max(s.slowest, attempt.AnsweredAt-attempt.SentAt)
	if attempt.Route == limitedRoute {
		return
	}
	s.unlimited++
	if _, ended := a.endingOf(attempt); !ended {
		s.waiting = append(s.waiting, fmt.Sprintf("%s %s on %s, key %q, sent at %v: %s", attempt.RequestID, attempt.MessageID,
			attempt.Route, attempt.OrderKey, attempt.SentAt, a.describeArrivals(attempt)))
	}
}
