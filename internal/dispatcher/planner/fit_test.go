package planner

import (
	"bytes"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// recorded makes the rows of a day whose truth is known: 60 jobs a second, then 90 from second 60 on; univ-gaspesie
// sends five times its part from 80 to 90; std-2c is of speed 1, fast-3c of 1.6; clients repeat once after 40 ms.
func recorded() (*capture.Set, *fleetsim.Fleet) {
	f, _ := yard()
	f.Kinds = append(f.Kinds, fleetsim.Kind{Name: "fast-3c", Cores: 3})
	f.Kinds[0].Slots = 0
	rng := rand.New(rand.NewPCG(11, 12))
	s := &capture.Set{}
	const base = int64(1_790_000_000_000_000_000)
	workers := []struct {
		name, kind string
		speed      float64
		slots      []int64 // when each is free again
	}{{"s-1", "std-2c", 0.95, make([]int64, 2)}, {"s-2", "std-2c", 1.05, make([]int64, 2)}, {"s-3", "fast-3c", 1.55, make([]int64, 3)}, {"s-4", "fast-3c", 1.65, make([]int64, 3)}}
	at, job := 0.0, int64(0)
	for {
		rate := 60.0
		if at >= 60 {
			rate = 90
		}
		burst := at >= 80 && at < 90
		if at += rng.ExpFloat64() / (rate * 2.6); at >= 120 {
			break
		}
		x := rng.Float64() * 2.6
		who := "univ-laurentie"
		switch {
		case x < 0.4:
			who = "univ-gaspesie"
		case x < 1:
		case burst && x < 2.6:
			who = "univ-gaspesie"
		default:
			continue
		}
		job++
		t := capture.Request{Node: "n0", Boot: base, Job: job, Arrived: base + int64(at*1e9), Class: "seat-check", Tenant: who, AffinityHash: uint64(job), Timeout: 5e9,
			Outcome: "served", Duration: 100e6, Attempts: 1}
		work := 0.1
		if rng.Float64() < 0.2 {
			t.Class, work = "enrol", 0.08
		}
		work *= math.Exp(0.6*rng.NormFloat64() - 0.18)
		if rng.Float64() < 0.05 {
			t.Outcome, t.Duration, t.Attempts, t.RetryAfter = "refused", 1e6, 0, 20e6
			again := t
			again.Job, again.Retry, again.Outcome, again.Arrived = -job, true, "failed", t.Arrived+t.Duration+40e6
			s.Requests = append(s.Requests, t, again)
			continue
		}
		s.Requests = append(s.Requests, t)
		w := &workers[rng.IntN(len(workers))]
		zone, hop := "montreal", int64(1e6)
		if w.name == "s-2" || w.name == "s-4" {
			zone, hop = "sherbrooke", 9e6
		}
		slot := 0
		for i := range w.slots {
			if w.slots[i] < w.slots[slot] {
				slot = i
			}
		}
		begin := max(t.Arrived+hop, w.slots[slot])
		w.slots[slot] = begin + int64(work/w.speed*1e9)
		s.Attempts = append(s.Attempts, capture.Attempt{Node: "n0", Boot: base, Job: job, Class: t.Class, Worker: w.name, Kind: w.kind, Zone: zone, Sent: t.Arrived,
			Started: begin + hop - t.Arrived, Ended: w.slots[slot] + hop - t.Arrived, Outcome: "ok", FreeSlots: 1, Queue: 0})
	}
	return s, f
}

func TestWhatWasRecordedIsFitted(t *testing.T) {
	s, f := recorded()
	x, err := FitCapture(s, f)
	if err != nil {
		t.Fatal(err)
	}
	near := func(what string, have, want, share float64) {
		t.Helper()
		if !(math.Abs(have-want) <= share*want) {
			t.Errorf("%s is %v, %v was set", what, have, want)
		}
	}
	l := x.Load
	near("the first rate", l.Rate[0].PerSecond, 60, 0.1)
	near("the last rate", l.Rate[len(l.Rate)-1].PerSecond, 90, 0.1)
	if len(l.Rate) > 6 {
		t.Errorf("two rates are told with %v", l.Rate)
	}
	if len(l.Bursts) != 1 || l.Bursts[0].Tenant != "univ-gaspesie" {
		t.Fatalf("bursts: %+v", l.Bursts)
	}
	near("the burst", l.Bursts[0].Factor, 5, 0.2)
	near("its beginning", l.Bursts[0].StartSeconds, 80, 0.03)
	near("its length", l.Bursts[0].DurationSeconds, 10, 0.25)
	near("the share of enrol", l.Classes[1].Share, 0.2, 0.1)
	near("work of seat-check", l.Classes[0].WorkMs, 100, 0.06)
	near("work of enrol", l.Classes[1].WorkMs, 80, 0.08)
	near("its variation", l.Classes[0].CV, math.Sqrt(math.Exp(0.36)-1), 0.1)
	near("the wait before a repeat", l.Retries.WaitMs, 40, 0.02)
	if l.Retries.Max != 1 || !l.Retries.HonourRetryAfter {
		t.Errorf("%+v", l.Retries)
	}
	full := x.FillFleet(f)
	if fast := full.Kinds[1]; fast.Slots != 3 || full.Kinds[0].Slots != 2 {
		t.Errorf("slots: %d and %d", full.Kinds[0].Slots, fast.Slots)
	}
	near("the speed of fast-3c", (full.Kinds[1].Speed[0]+full.Kinds[1].Speed[1])/2, 1.6, 0.06)
	if full.Kinds[0].Speed != (fleetsim.Range{1, 1}) || f.Kinds[1].Slots != 0 {
		t.Errorf("what the fleet gives was changed: %+v", full.Kinds[0])
	}
	near("one way within a zone", full.SameZoneMs, 1, 0.2)
	if f.CrossZoneMs = 0; math.Abs(x.FillFleet(f).CrossZoneMs-9) > 1 {
		t.Errorf("one way between zones: %v ms", x.FillFleet(f).CrossZoneMs)
	}
	for _, w := range x.Figures {
		if math.IsNaN(w.Value) || math.IsNaN(w.HalfWidth) {
			t.Errorf("%+v", w)
		}
	}
	beyond := &fleetsim.Load{Rate: []fleetsim.RatePoint{{AtSeconds: 0, PerSecond: 900}}}
	if said := x.Extrapolations(beyond); len(said) != 1 || !strings.Contains(said[0], "900 jobs a second") || len(x.Extrapolations(l)) != 0 {
		t.Errorf("%v, %v", said, x.Extrapolations(l))
	}
	// The fitted load can be planned for.
	if _, err := fleetsim.Simulate(x.FillFleet(f), l, 1, nil); err != nil {
		t.Error(err)
	}
}

// What a capture does not tell, or tells in a way that is not to be trusted, is said.
// TestRunTimesThatAreAllAlikeAreFitted fits a capture in which each job of a class takes as long as every other one.
// The fit is printed as JSON, which has no NaN.
func TestRunTimesThatAreAllAlikeAreFitted(t *testing.T) {
	s, f := recorded()
	for i := range s.Attempts {
		s.Attempts[i].Ended = s.Attempts[i].Started + 100e6
	}
	x, err := FitCapture(s, f)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := json.Marshal(x); err != nil {
		t.Error(err)
	}
	for _, figure := range x.Figures {
		if strings.HasPrefix(figure.Name, "distance of") && figure.Value != 0 {
			t.Errorf("%s is %v", figure.Name, figure.Value)
		}
	}
}

// TestOneCaptureHasOneFit fits a capture again and again: the last digit is the same.
func TestOneCaptureHasOneFit(t *testing.T) {
	s, f := recorded()
	var first []byte
	for round := range 8 {
		x, err := FitCapture(s, f)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(x)
		if err != nil {
			t.Fatal(err)
		}
		if round == 0 {
			first = text
		}
		if !bytes.Equal(text, first) {
			t.Fatalf("round %d differs", round)
		}
	}
}

func TestWhatIsNotToldIsSaid(t *testing.T) {
	said := func(change func(*capture.Set)) string {
		s, f := recorded()
		change(s)
		x, err := FitCapture(s, f)
		if err != nil {
			return err.Error()
		}
		return strings.Join(append(x.Warnings, x.Extrapolations(&fleetsim.Load{Rate: x.Load.Rate, Bursts: []fleetsim.Burst{{}}})...), "; ")
	}
	for says, change := range map[string]func(*capture.Set){
		"hold no tries":                              func(s *capture.Set) { s.Requests = nil },
		"the calendar of n0 stepped by 3600.0 s":     func(s *capture.Set) { s.Requests[500].ClockOffset = 3600e9 },
		"17 rows could not be kept":                  func(s *capture.Set) { s.DroppedRows = 17 },
		"was never closed":                           func(s *capture.Set) { s.Warnings = []string{"x was never closed"} },
		"class \"drop\", which the fleet does not":   func(s *capture.Set) { s.Requests[3].Class = "drop" },
		"university \"univ-x\", which the fleet":     func(s *capture.Set) { s.Requests[3].Tenant = "univ-x" },
		"only 0 jobs tell their running time":        func(s *capture.Set) { s.Attempts = nil },
		"all tries are repeats":                      func(s *capture.Set) { s.Requests = []capture.Request{{Retry: true}} },
		"no job met a full worker":                   func(s *capture.Set) {},
		"running times of seat-check are no lognorm": func(s *capture.Set) { fixed(s) },
		"only 0 first tries were refused or failed": func(s *capture.Set) {
			for i := range s.Requests {
				s.Requests[i].Outcome = "served"
			}
		},
		"the capture has none": func(s *capture.Set) { // a calm day alone, asked about a burst
			for i := range s.Requests {
				if s.Requests[i].Arrived%5 < 2 {
					s.Requests[i].Tenant = "univ-gaspesie"
				} else {
					s.Requests[i].Tenant = "univ-laurentie"
				}
			}
		},
	} {
		if have := said(change); !strings.Contains(have, says) {
			t.Errorf("%q is not said, but %q", says, have)
		}
	}
}

// fixed makes running times that are either short or long.
func fixed(s *capture.Set) {
	for i := range s.Attempts {
		a := &s.Attempts[i]
		a.Ended = a.Started + 20e6 + int64(i%2)*400e6
	}
}
