package amqp

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

func newDelivery(id string, redelivered bool) delivery {
	return delivery{Delivery: amqp.Delivery{CorrelationId: id, Redelivered: redelivered}}
}

func newTestOutcomes() *outcomes {
	return newOutcomes(config.Limits{OutcomeRetention: time.Minute, RetainedOutcomes: 3, RetainedOutcomeBytes: 100})
}

var (
	servedAnswer   = dispatch.Answer{Kind: dispatch.Served, Result: []byte("result")}
	rejectedAnswer = dispatch.Answer{Kind: dispatch.Rejected}
)

// A redelivery and a client's retry must get the stored answer, and must not run a job whose outcome is lost.
func TestRepeatedDeliveriesGetStoredOutcome(t *testing.T) {
	for _, tc := range []struct {
		name        string
		before      *dispatch.Answer // answer of an earlier delivery; nil if there was none
		keyed       bool
		redelivered bool
		want        string
	}{
		{"a new job", nil, true, false, "new"},
		{"a redelivered job without a key whose outcome is not stored", nil, false, true, "new"},
		{"a redelivered job with a key whose outcome is not stored", nil, true, true, "lost"},
		{"a redelivered job after a result", &servedAnswer, true, true, "answered"},
		{"a redelivered job after a rejection", &rejectedAnswer, true, true, "answered"},
		{"a client's retry after a result", &servedAnswer, true, false, "answered"},
		{"a client's retry after a rejection", &rejectedAnswer, true, false, "new"},
		{"a client's retry of a job without a key", &servedAnswer, false, false, "new"},
	} {
		o := newTestOutcomes()
		if tc.before != nil {
			o.lookupOrOpen("name", tc.keyed, newDelivery("first", false))
			o.complete("name", *tc.before)
		}
		got := "new"
		switch known := o.lookupOrOpen("name", tc.keyed, newDelivery("second", tc.redelivered)); {
		case known.joined:
			got = "joined"
		case known.lost:
			got = "lost"
		case known.answer != nil:
			got = "answered"
		}
		if got != tc.want {
			t.Errorf("%s: got %s, want %s", tc.name, got, tc.want)
		}
	}
}

// Two deliveries of a job that is open must run it once, and both must get its answer.
func TestDeliveryJoinsOpenJob(t *testing.T) {
	o := newTestOutcomes()
	o.lookupOrOpen("name", true, newDelivery("first", false))
	if known := o.lookupOrOpen("name", true, newDelivery("second", false)); !known.joined {
		t.Errorf("second delivery is not joined: %+v", known)
	}
	waiting := o.complete("name", servedAnswer)
	if len(waiting) != 2 || waiting[0].CorrelationId != "first" || waiting[1].CorrelationId != "second" {
		t.Errorf("%d deliveries get the answer, want both", len(waiting))
	}
	if again := o.complete("name", rejectedAnswer); again != nil {
		t.Errorf("a second answer goes to %d deliveries, want none", len(again))
	}
}

// The oldest outcomes must be evicted beyond the limits of number, bytes and age, or memory grows without bound.
func TestOutcomesAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOutcomes()
		answer := func(name string, result int) {
			o.lookupOrOpen(name, true, newDelivery(name, false))
			o.complete(name, dispatch.Answer{Kind: dispatch.Served, Result: make([]byte, result)})
		}
		check := func(what string, want ...string) {
			t.Helper()
			if fmt.Sprint(len(o.byName)) != fmt.Sprint(len(want)) {
				t.Errorf("%s: %d outcomes are stored", what, len(o.byName))
			}
			for _, name := range want {
				if o.byName[name] == nil {
					t.Errorf("%s: outcome %s is missing", what, name)
				}
			}
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			answer(name, 10)
		}
		check("above the maximum number", "b", "c", "d")
		answer("e", 85)
		check("above the maximum bytes", "d", "e")
		time.Sleep(time.Minute + time.Second)
		answer("f", 1)
		check("after the retention time", "f")
		if o.bytes != 1 {
			t.Errorf("counted %d bytes, want 1", o.bytes)
		}
	})
}
