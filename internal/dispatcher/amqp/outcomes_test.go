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

func message(id string, redelivered bool) delivery {
	return delivery{Delivery: amqp.Delivery{CorrelationId: id, Redelivered: redelivered}}
}

func newTestOutcomes() *outcomes {
	return newOutcomes(config.Limits{OutcomeRetention: time.Minute, RetainedOutcomes: 3, RetainedOutcomeBytes: 100})
}

var (
	servedAnswer   = dispatch.Answer{Kind: dispatch.Served, Result: []byte("result")}
	rejectedAnswer = dispatch.Answer{Kind: dispatch.Rejected}
)

func TestOutcomesOfDeliveries(t *testing.T) {
	for _, k := range []struct {
		name        string
		before      *dispatch.Answer // of a delivery that came before; nil: none did
		keyed       bool
		redelivered bool
		want        string
	}{
		{"a new one", nil, true, false, "new"},
		{"a redelivered one without a key that is not remembered", nil, false, true, "new"},
		{"a redelivered one with a key that is not remembered", nil, true, true, "lost"},
		{"a redelivered one after a result", &servedAnswer, true, true, "answered"},
		{"a redelivered one after a rejection", &rejectedAnswer, true, true, "answered"},
		{"a client's retry after a result", &servedAnswer, true, false, "answered"},
		{"a client's retry after a rejection", &rejectedAnswer, true, false, "new"},
		{"a client's retry of a job without a key", &servedAnswer, false, false, "new"},
	} {
		o := newTestOutcomes()
		if k.before != nil {
			o.enter("name", k.keyed, message("first", false))
			o.complete("name", *k.before)
		}
		got := "new"
		switch known := o.enter("name", k.keyed, message("second", k.redelivered)); {
		case known.joined:
			got = "joined"
		case known.lost:
			got = "lost"
		case known.answer != nil:
			got = "answered"
		}
		if got != k.want {
			t.Errorf("%s is %s, want %s", k.name, got, k.want)
		}
	}
}

func TestDeliveriesJoinAnOpenJob(t *testing.T) {
	o := newTestOutcomes()
	o.enter("name", true, message("first", false))
	if known := o.enter("name", true, message("second", false)); !known.joined {
		t.Errorf("a second delivery: %+v", known)
	}
	waiting := o.complete("name", servedAnswer)
	if len(waiting) != 2 || waiting[0].CorrelationId != "first" || waiting[1].CorrelationId != "second" {
		t.Errorf("%d deliveries get the answer", len(waiting))
	}
	if again := o.complete("name", rejectedAnswer); again != nil {
		t.Errorf("a second answer goes to %d deliveries", len(again))
	}
}

func TestOutcomesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOutcomes()
		answer := func(name string, result int) {
			o.enter(name, true, message(name, false))
			o.complete(name, dispatch.Answer{Kind: dispatch.Served, Result: make([]byte, result)})
		}
		check := func(what string, want ...string) {
			t.Helper()
			if fmt.Sprint(len(o.byName)) != fmt.Sprint(len(want)) {
				t.Errorf("%s: %d are remembered", what, len(o.byName))
			}
			for _, name := range want {
				if o.byName[name] == nil {
					t.Errorf("%s: %s is forgotten", what, name)
				}
			}
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			answer(name, 10)
		}
		check("beyond their number", "b", "c", "d")
		answer("e", 85)
		check("beyond their bytes", "d", "e")
		time.Sleep(time.Minute + time.Second)
		answer("f", 1)
		check("beyond their time", "f")
		if o.bytes != 1 {
			t.Errorf("%d bytes are counted", o.bytes)
		}
	})
}
