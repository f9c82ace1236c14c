package lease_test

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gladepick/internal/dispatcher/lease"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

// An intent that its owner gave up on its way may come in yet. The next one has another number, so that it is no repeat of
// that one, and the place that counts is where the send went.
func TestGivenUpIntentComesLate(t *testing.T) {
	table := lease.New()
	h, acts := lease.Begin("k", "a.1", lease.Terms{RetryWindow: 5000, SamePlaceOnly: true, Deadline: 20_000, Retention: 1, MaxRecords: 1, RequestID: 1}, 500, nil, 1000)
	h.HandleResponse(acts[0].Command, table.Apply(acts[0].Command))
	first := h.RequestSend(0, 1, 1100)[0].Command
	if acts := h.HandleUnknownOutcome(first); len(acts) != 1 || acts[0].Kind != lease.SkipSend {
		t.Fatalf("%+v", acts)
	}
	table.Apply(first)
	second := h.RequestSend(1, 2, 1300)[0].Command
	if acts := h.HandleResponse(second, table.Apply(second)); len(acts) != 1 || acts[0].Kind != lease.Send {
		t.Fatalf("%+v", acts)
	}
	if r, _ := table.Get("k"); r.Place != 2 || r.FirstSendAt != 1300 {
		t.Errorf("the record has place %d and time %d", r.Place, r.FirstSendAt)
	}
	if again := table.Apply(first); again.Decision == lease.Granted {
		t.Error("the one that was given up is let through after the next")
	}
	table.Apply(&lease.Command{Kind: lease.TakeOver, PreviousOwner: "a.1", Owner: "b.1", Time: 1500, Limit: 1})
	r, _ := table.Get("k")
	heir, _ := lease.Resume(&r, 500, 1500)
	for place, want := range map[uint32]lease.Decision{1: lease.Forbidden, 2: lease.Granted} {
		c := heir.RequestSend(0, place, 1600)[0].Command
		if got := table.Clone().Apply(c); got.Decision != want {
			t.Errorf("a repeat at place %d is %v", place, got.Decision)
		}
		heir.HandleUnknownOutcome(c)
	}
}

// What a successor may do, by class and time: the table of docs/durable-jobs-design.md.
func TestWhatASuccessorMayDo(t *testing.T) {
	for _, k := range []struct {
		again    int64
		bound    bool
		sent     bool
		now      int64
		place    uint32
		may      bool
		hopeless bool
	}{
		{5000, false, false, 2000, 7, true, false},
		{0, false, false, 2000, 7, true, false},
		{5000, false, false, 20_000, 7, false, true}, // after its client's deadline
		{5000, false, true, 2000, 7, true, false},
		{5000, false, true, 6000, 7, false, true}, // after the window
		{5000, true, true, 2000, 7, false, false},
		{5000, true, true, 2000, 1, true, false},
		{0, false, true, 2000, 1, false, true}, // never twice
	} {
		table := lease.New()
		terms := lease.Terms{RetryWindow: k.again, SamePlaceOnly: k.bound, Deadline: 20_000, Retention: 1, MaxRecords: 1}
		table.Apply(&lease.Command{Kind: lease.Acquire, Key: "k", Owner: "a.1", Time: 900, Terms: terms})
		if k.sent {
			table.Apply(&lease.Command{Kind: lease.IntendSend, Key: "k", Owner: "a.1", Epoch: 1, Time: 1000, Attempt: 1, Place: 1})
		}
		table.Apply(&lease.Command{Kind: lease.TakeOver, PreviousOwner: "a.1", Owner: "b.1", Time: 1500, Limit: 1})
		r, _ := table.Get("k")
		if r.Owner != "b.1" || r.Epoch != 2 || r.MaySend(k.now, k.place) != k.may || r.IsBeyondRetry(k.now) != k.hopeless {
			t.Errorf("%+v: %+v, may %v, hopeless %v", k, r, r.MaySend(k.now, k.place), r.IsBeyondRetry(k.now))
		}
		if old := table.Apply(&lease.Command{Kind: lease.Finish, Key: "k", Owner: "a.1", Epoch: 1, Time: 1600, Outcome: lease.Served}); old.Decision != lease.Fenced {
			t.Errorf("%+v: the owner that was is %v", k, old.Decision)
		}
	}
}

// Copies that took a snapshot on the way and those that saw every command come to the same replies and the same bytes; an
// outcome never changes until it is forgotten, epochs only grow, and a table never holds more than its most.
func TestCopiesGoOnAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := lease.New(), lease.New()
		now, most := int64(1000), rapid.IntRange(1, 4).Draw(t, "most")
		keys, owners := []string{"x", "y", "z"}, []string{"a.1", "a.2", "b.1"}
		outcome, epoch := map[string]string{}, map[string]uint64{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400).Draw(t, "time")
			c := &lease.Command{Kind: lease.Kind(rapid.IntRange(1, 6).Draw(t, "kind")), Key: rapid.SampledFrom(keys).Draw(t, "key"), Owner: rapid.SampledFrom(owners).Draw(t, "owner"),
				Time: now - rapid.Int64Range(0, 300).Draw(t, "late"), Place: rapid.Uint32Range(0, 2).Draw(t, "place"), NothingRan: rapid.Bool().Draw(t, "clean"), Limit: most,
				Outcome: lease.Outcome(rapid.IntRange(1, 2).Draw(t, "verdict")), Result: fmt.Append(nil, i), PreviousOwner: rapid.SampledFrom(append(owners, "")).Draw(t, "from"),
				Terms: lease.Terms{RetryWindow: rapid.Int64Range(0, 1000).Draw(t, "again"), SamePlaceOnly: rapid.Bool().Draw(t, "bound"), Deadline: now + rapid.Int64Range(0, 3000).Draw(t, "until"),
					Retention: rapid.Int64Range(0, 2000).Draw(t, "keep"), MaxRecords: most, RequestID: rapid.Uint64Range(1, 2).Draw(t, "sender")}}
			if r, ok := a.Get(c.Key); ok {
				c.Epoch, c.Attempt = r.Epoch-rapid.Uint64Range(0, min(r.Epoch, 1)).Draw(t, "epoch"), r.Attempt+rapid.Uint32Range(0, 1).Draw(t, "attempt")
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				data, err := b.Snapshot()
				if b = lease.New(); err != nil || b.Restore(data) != nil {
					t.Fatal("a snapshot that cannot be restored")
				}
			}
			text, err := lease.Encode(c)
			if err != nil {
				t.Fatal(err)
			}
			same, err := lease.Decode(text)
			if err != nil {
				t.Fatal(err)
			}
			if x, y := a.Apply(c), b.Apply(same); x.Decision != y.Decision || x.Epoch != y.Epoch || x.Moved != y.Moved || x.Outcome != y.Outcome || !bytes.Equal(x.Result, y.Result) {
				t.Fatalf("%+v: %+v and %+v", c, x, y)
			}
			one, _ := a.Snapshot()
			two, _ := b.Snapshot()
			if !bytes.Equal(one, two) {
				t.Fatalf("after %+v the copies differ", c)
			}
			if a.Len() > most {
				t.Fatalf("%d records, %d at most", a.Len(), most)
			}
			for _, k := range keys {
				r, ok := a.Get(k)
				if !ok {
					delete(outcome, k)
					continue
				}
				if r.Epoch < epoch[k] {
					t.Fatalf("%s has epoch %d after %d", k, r.Epoch, epoch[k])
				}
				epoch[k] = r.Epoch
				if r.State == lease.Ended {
					said := fmt.Sprint(r.Outcome, string(r.Result))
					if was, ok := outcome[k]; ok && was != said {
						t.Fatalf("%s ended as %s after %s", k, said, was)
					}
					outcome[k] = said
				}
			}
		}
	})
}
