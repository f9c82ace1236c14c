package dispatch_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/golden"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
)

// The names and order of the counters are part of the HTTP interface, the log and the SNMP MIB, so they must not
// change.
func TestCounterNamesAndOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counters := new(dispatch.Counters)
		for i, c := range []interface{ Store(int64) }{&counters.Accepted, &counters.Served, &counters.Rejected, &counters.Failed,
			&counters.Abandoned, &counters.Overflow, &counters.Malformed, &counters.Sent, &counters.Dialled, &counters.Reused,
			&counters.ListChanges, &counters.ListFailures, &counters.Redelivered, &counters.Captured, &counters.CaptureDropped} {
			c.Store(int64(101 + i))
		}
		for o := decision.OK; o <= decision.NeverSent; o++ {
			counters.Outcomes[o].Store(int64(200 + o))
		}
		core, err := dispatch.New(testenv.Node(t, nil, ""), counters, nil, nil, &fakeEnvironment{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.MarshalIndent(core.Counts(), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		golden.AssertBytes(t, append(text, '\n'), "counters.json")
		golden.AssertBytes(t, []byte(core.CountersLine()+"\n"), "counters.txt")
	})
}

// Captures store the outcome names, so they must not change.
func TestOutcomeNames(t *testing.T) {
	var names []byte
	for o := decision.OK; o <= decision.NeverSent; o++ {
		names = append(append(names, dispatch.OutcomeName(o)...), '\n')
	}
	golden.AssertBytes(t, names, "outcomes.txt")
}
