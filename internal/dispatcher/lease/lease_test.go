package lease_test

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gladepick/internal/dispatcher/lease"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same commands in every run

// Guards against an intent that is applied after its owner gave it up being taken for the next one. The next intent has
// another attempt number, and the record keeps the place to which the job was sent.
func TestLateIntentIsNotTakenForTheNext(t *testing.T) {
	table := lease.New()
	l, actions := lease.Begin("k", "a.1", lease.Terms{RetryWindow: 5000, SamePlaceOnly: true, Deadline: 20_000, Retention: 1, MaxRecords: 1, RequestID: 1}, 500, nil, 1000)
	l.HandleResponse(actions[0].Command, table.Apply(actions[0].Command))
	first := l.RequestSend(0, 1, 1100)[0].Command
	if actions := l.HandleUnknownOutcome(first); len(actions) != 1 || actions[0].Kind != lease.SkipSend {
		t.Fatalf("actions after an unknown outcome: %+v, want SkipSend", actions)
	}
	table.Apply(first)
	second := l.RequestSend(1, 2, 1300)[0].Command
	if actions := l.HandleResponse(second, table.Apply(second)); len(actions) != 1 || actions[0].Kind != lease.Send {
		t.Fatalf("actions after the second intent: %+v, want Send", actions)
	}
	if r, _ := table.Get("k"); r.Place != 2 || r.FirstSendAt != 1300 {
		t.Errorf("the record has place %d and first send %d, want 2 and 1300", r.Place, r.FirstSendAt)
	}
	if repeated := table.Apply(first); repeated.Decision == lease.Granted {
		t.Error("the intent that was given up is granted after the next one")
	}
	table.Apply(&lease.Command{Kind: lease.TakeOver, PreviousOwner: "a.1", Owner: "b.1", Time: 1500, Limit: 1})
	r, _ := table.Get("k")
	newOwner, _ := lease.Resume(&r, 500, 1500)
	for place, want := range map[uint32]lease.Decision{1: lease.Forbidden, 2: lease.Granted} {
		c := newOwner.RequestSend(0, place, 1600)[0].Command
		if got := table.Clone().Apply(c); got.Decision != want {
			t.Errorf("a send of the new owner to place %d is %v", place, got.Decision)
		}
		newOwner.HandleUnknownOutcome(c)
	}
}

// Guards against a new owner sending what the terms forbid. The cases are the table of docs/durable-jobs-design.md.
func TestNewOwnerSendsOnlyWhatTermsAllow(t *testing.T) {
	for _, test := range []struct {
		retryWindow   int64
		samePlaceOnly bool
		sent          bool
		now           int64
		place         uint32
		maySend       bool
		isBeyondRetry bool
	}{
		{5000, false, false, 2000, 7, true, false},
		{0, false, false, 2000, 7, true, false},
		{5000, false, false, 20_000, 7, false, true}, // after the client's deadline
		{5000, false, true, 2000, 7, true, false},
		{5000, false, true, 6000, 7, false, true}, // after the retry window
		{5000, true, true, 2000, 7, false, false},
		{5000, true, true, 2000, 1, true, false},
		{0, false, true, 2000, 1, false, true}, // no repeats allowed
	} {
		table := lease.New()
		terms := lease.Terms{RetryWindow: test.retryWindow, SamePlaceOnly: test.samePlaceOnly, Deadline: 20_000, Retention: 1, MaxRecords: 1}
		table.Apply(&lease.Command{Kind: lease.Acquire, Key: "k", Owner: "a.1", Time: 900, Terms: terms})
		if test.sent {
			table.Apply(&lease.Command{Kind: lease.IntendSend, Key: "k", Owner: "a.1", Epoch: 1, Time: 1000, Attempt: 1, Place: 1})
		}
		table.Apply(&lease.Command{Kind: lease.TakeOver, PreviousOwner: "a.1", Owner: "b.1", Time: 1500, Limit: 1})
		r, _ := table.Get("k")
		if r.Owner != "b.1" || r.Epoch != 2 || r.MaySend(test.now, test.place) != test.maySend || r.IsBeyondRetry(test.now) != test.isBeyondRetry {
			t.Errorf("%+v: record %+v, MaySend %v, IsBeyondRetry %v", test, r, r.MaySend(test.now, test.place), r.IsBeyondRetry(test.now))
		}
		if late := table.Apply(&lease.Command{Kind: lease.Finish, Key: "k", Owner: "a.1", Epoch: 1, Time: 1600, Outcome: lease.Served}); late.Decision != lease.Fenced {
			t.Errorf("%+v: the late outcome of the previous owner is %v, want fenced", test, late.Decision)
		}
	}
}

// Guards against replicas diverging when one of them restores snapshots: both must give the same responses and
// snapshots after every command. Until a record expires its outcome must not change, epochs must never decrease, and a
// table must not have more than MaxRecords records.
func TestReplicasDoNotDiverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := lease.New(), lease.New()
		now, maxRecords := int64(1000), rapid.IntRange(1, 4).Draw(t, "most")
		keys, owners := []string{"x", "y", "z"}, []string{"a.1", "a.2", "b.1"}
		outcomes, epochs := map[string]string{}, map[string]uint64{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400).Draw(t, "time")
			c := &lease.Command{Kind: lease.Kind(rapid.IntRange(1, 6).Draw(t, "kind")), Key: rapid.SampledFrom(keys).Draw(t, "key"), Owner: rapid.SampledFrom(owners).Draw(t, "owner"),
				Time: now - rapid.Int64Range(0, 300).Draw(t, "late"), Place: rapid.Uint32Range(0, 2).Draw(t, "place"), NothingRan: rapid.Bool().Draw(t, "clean"), Limit: maxRecords,
				Outcome: lease.Outcome(rapid.IntRange(1, 2).Draw(t, "verdict")), Result: fmt.Append(nil, i), PreviousOwner: rapid.SampledFrom(append(owners, "")).Draw(t, "from"),
				Terms: lease.Terms{RetryWindow: rapid.Int64Range(0, 1000).Draw(t, "again"), SamePlaceOnly: rapid.Bool().Draw(t, "bound"), Deadline: now + rapid.Int64Range(0, 3000).Draw(t, "until"),
					Retention: rapid.Int64Range(0, 2000).Draw(t, "keep"), MaxRecords: maxRecords, RequestID: rapid.Uint64Range(1, 2).Draw(t, "sender")}}
			if r, ok := a.Get(c.Key); ok {
				c.Epoch, c.Attempt = r.Epoch-rapid.Uint64Range(0, min(r.Epoch, 1)).Draw(t, "epoch"), r.Attempt+rapid.Uint32Range(0, 1).Draw(t, "attempt")
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				data, err := b.Snapshot()
				if b = lease.New(); err != nil || b.Restore(data) != nil {
					t.Fatal("a snapshot cannot be written or restored")
				}
			}
			encoded, err := lease.Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := lease.Decode(encoded)
			if err != nil {
				t.Fatal(err)
			}
			if responseA, responseB := a.Apply(c), b.Apply(decoded); responseA.Decision != responseB.Decision || responseA.Epoch != responseB.Epoch || responseA.Moved != responseB.Moved || responseA.Outcome != responseB.Outcome || !bytes.Equal(responseA.Result, responseB.Result) {
				t.Fatalf("%+v: the responses are %+v and %+v", c, responseA, responseB)
			}
			snapshotA, _ := a.Snapshot()
			snapshotB, _ := b.Snapshot()
			if !bytes.Equal(snapshotA, snapshotB) {
				t.Fatalf("after %+v the snapshots of the replicas differ", c)
			}
			if a.Len() > maxRecords {
				t.Fatalf("the table has %d records, at most %d are allowed", a.Len(), maxRecords)
			}
			for _, k := range keys {
				r, ok := a.Get(k)
				if !ok {
					delete(outcomes, k)
					continue
				}
				if r.Epoch < epochs[k] {
					t.Fatalf("the epoch of %s is %d, it was %d before", k, r.Epoch, epochs[k])
				}
				epochs[k] = r.Epoch
				if r.State == lease.Ended {
					current := fmt.Sprint(r.Outcome, string(r.Result))
					if earlier, ok := outcomes[k]; ok && earlier != current {
						t.Fatalf("the outcome of %s is %s, it was %s before", k, current, earlier)
					}
					outcomes[k] = current
				}
			}
		}
	})
}
