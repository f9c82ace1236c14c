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

// capturedDay returns the capture of a day with known values: 60 jobs per second until second 60, then 90;
// univ-gaspesie sends five times its share from second 80 to 90; std-2c has a speed of 1, fast-3c of 1.6; clients retry
// once after 40 ms.
func capturedDay() (*capture.Set, *fleetsim.Fleet) {
	fleet, _ := halfLoadedFleet()
	fleet.Kinds = append(fleet.Kinds, fleetsim.Kind{Name: "fast-3c", Cores: 3})
	fleet.Kinds[0].Slots = 0
	rng := rand.New(rand.NewPCG(11, 12))
	set := &capture.Set{}
	const base = int64(1_790_000_000_000_000_000)
	workers := []struct {
		name, kind string
		speed      float64
		slots      []int64 // time at which each slot is free again, in nanoseconds
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
		tenant := "univ-laurentie"
		switch {
		case x < 0.4:
			tenant = "univ-gaspesie"
		case x < 1:
		case burst && x < 2.6:
			tenant = "univ-gaspesie"
		default:
			continue
		}
		job++
		request := capture.Request{Node: "n0", Boot: base, Job: job, Arrived: base + int64(at*1e9), Class: "seat-check", Tenant: tenant, AffinityHash: uint64(job), Timeout: 5e9,
			Outcome: "served", Duration: 100e6, Attempts: 1}
		work := 0.1
		if rng.Float64() < 0.2 {
			request.Class, work = "enrol", 0.08
		}
		work *= math.Exp(0.6*rng.NormFloat64() - 0.18)
		if rng.Float64() < 0.05 {
			request.Outcome, request.Duration, request.Attempts, request.RetryAfter = "refused", 1e6, 0, 20e6
			retry := request
			retry.Job, retry.Retry, retry.Outcome, retry.Arrived = -job, true, "failed", request.Arrived+request.Duration+40e6
			set.Requests = append(set.Requests, request, retry)
			continue
		}
		set.Requests = append(set.Requests, request)
		worker := &workers[rng.IntN(len(workers))]
		zone, hop := "montreal", int64(1e6)
		if worker.name == "s-2" || worker.name == "s-4" {
			zone, hop = "sherbrooke", 9e6
		}
		slot := 0
		for i := range worker.slots {
			if worker.slots[i] < worker.slots[slot] {
				slot = i
			}
		}
		started := max(request.Arrived+hop, worker.slots[slot])
		worker.slots[slot] = started + int64(work/worker.speed*1e9)
		set.Attempts = append(set.Attempts, capture.Attempt{Node: "n0", Boot: base, Job: job, Class: request.Class, Worker: worker.name, Kind: worker.kind, Zone: zone, Sent: request.Arrived,
			Started: started + hop - request.Arrived, Ended: worker.slots[slot] + hop - request.Arrived, Outcome: "ok", FreeSlots: 1, Queue: 0})
	}
	return set, fleet
}

// TestFitRecoversKnownValues fails if a fitted value is not near the known value of the captured day.
func TestFitRecoversKnownValues(t *testing.T) {
	set, fleet := capturedDay()
	fit, err := FitCapture(set, fleet)
	if err != nil {
		t.Fatal(err)
	}
	near := func(what string, got, want, share float64) {
		t.Helper()
		if !(math.Abs(got-want) <= share*want) {
			t.Errorf("%s is %v, want about %v", what, got, want)
		}
	}
	load := fit.Load
	near("the first rate", load.Rate[0].PerSecond, 60, 0.1)
	near("the last rate", load.Rate[len(load.Rate)-1].PerSecond, 90, 0.1)
	if len(load.Rate) > 6 {
		t.Errorf("%d points for two rates, want at most 6: %v", len(load.Rate), load.Rate)
	}
	if len(load.Bursts) != 1 || load.Bursts[0].Tenant != "univ-gaspesie" {
		t.Fatalf("want one burst of univ-gaspesie, got %+v", load.Bursts)
	}
	near("the burst", load.Bursts[0].Factor, 5, 0.2)
	near("its beginning", load.Bursts[0].StartSeconds, 80, 0.03)
	near("its length", load.Bursts[0].DurationSeconds, 10, 0.25)
	near("the share of enrol", load.Classes[1].Share, 0.2, 0.1)
	near("work of seat-check", load.Classes[0].WorkMs, 100, 0.06)
	near("work of enrol", load.Classes[1].WorkMs, 80, 0.08)
	near("its variation", load.Classes[0].CV, math.Sqrt(math.Exp(0.36)-1), 0.1)
	near("the wait before a repeat", load.Retries.WaitMs, 40, 0.02)
	if load.Retries.Max != 1 || !load.Retries.HonourRetryAfter {
		t.Errorf("want one retry that honours Retry-After, got %+v", load.Retries)
	}
	filled := fit.FillFleet(fleet)
	if fast := filled.Kinds[1]; fast.Slots != 3 || filled.Kinds[0].Slots != 2 {
		t.Errorf("fitted slots are %d and %d, want 2 and 3", filled.Kinds[0].Slots, fast.Slots)
	}
	near("the speed of fast-3c", (filled.Kinds[1].Speed[0]+filled.Kinds[1].Speed[1])/2, 1.6, 0.06)
	if filled.Kinds[0].Speed != (fleetsim.Range{1, 1}) || fleet.Kinds[1].Slots != 0 {
		t.Errorf("FillFleet changed a value that the fleet gives, or the fleet itself: %+v", filled.Kinds[0])
	}
	near("one way within a zone", filled.SameZoneMs, 1, 0.2)
	if fleet.CrossZoneMs = 0; math.Abs(fit.FillFleet(fleet).CrossZoneMs-9) > 1 {
		t.Errorf("the one-way delay between zones is %v ms, want 9 ± 1", fit.FillFleet(fleet).CrossZoneMs)
	}
	for _, figure := range fit.Figures {
		if math.IsNaN(figure.Value) || math.IsNaN(figure.HalfWidth) {
			t.Errorf("a figure is not a number: %+v", figure)
		}
	}
	beyond := &fleetsim.Load{Rate: []fleetsim.RatePoint{{AtSeconds: 0, PerSecond: 900}}}
	if messages := fit.Extrapolations(beyond); len(messages) != 1 || !strings.Contains(messages[0], "900 jobs a second") || len(fit.Extrapolations(load)) != 0 {
		t.Errorf("messages %v about a load of 900 per second, want one; %v about the fitted load, want none", messages, fit.Extrapolations(load))
	}
	// The fitted load must be valid.
	if _, err := fleetsim.Simulate(fit.FillFleet(fleet), load, 1, nil); err != nil {
		t.Error(err)
	}
}

// TestEqualRunTimesAreFittedWithoutNaN fails if equal run times make a fitted value NaN, which JSON cannot encode. The
// standard deviation is 0 then, and the distance to the lognormal distribution must be 0, too.
func TestEqualRunTimesAreFittedWithoutNaN(t *testing.T) {
	set, fleet := capturedDay()
	for i := range set.Attempts {
		set.Attempts[i].Ended = set.Attempts[i].Started + 100e6
	}
	fit, err := FitCapture(set, fleet)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := json.Marshal(fit); err != nil {
		t.Error(err)
	}
	for _, figure := range fit.Figures {
		if strings.HasPrefix(figure.Name, "distance of") && figure.Value != 0 {
			t.Errorf("%s is %v, want 0", figure.Name, figure.Value)
		}
	}
}

// TestFitIsDeterministic fails if fitting the same capture several times gives results that differ, even in the last
// digit.
func TestFitIsDeterministic(t *testing.T) {
	set, fleet := capturedDay()
	var first []byte
	for round := range 8 {
		fit, err := FitCapture(set, fleet)
		if err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(fit)
		if err != nil {
			t.Fatal(err)
		}
		if round == 0 {
			first = text
		}
		if !bytes.Equal(text, first) {
			t.Fatalf("the fit of round %d differs from the first one", round)
		}
	}
}

// TestFitWarnsOfMissingData fails if a fit does not warn of what a capture lacks or of what makes it unreliable.
func TestFitWarnsOfMissingData(t *testing.T) {
	warnings := func(change func(*capture.Set)) string {
		s, f := capturedDay()
		change(s)
		x, err := FitCapture(s, f)
		if err != nil {
			return err.Error()
		}
		return strings.Join(append(x.Warnings, x.Extrapolations(&fleetsim.Load{Rate: x.Load.Rate, Bursts: []fleetsim.Burst{{}}})...), "; ")
	}
	for want, change := range map[string]func(*capture.Set){
		"hold no tries":                              func(s *capture.Set) { s.Requests = nil },
		"the calendar of n0 stepped by 3600.0 s":     func(s *capture.Set) { s.Requests[500].ClockOffset = 3600e9 },
		"17 rows could not be kept":                  func(s *capture.Set) { s.DroppedRows = 17 },
		"was never closed":                           func(s *capture.Set) { s.Warnings = []string{"x was never closed"} },
		"class \"drop\", which the fleet does not":   func(s *capture.Set) { s.Requests[3].Class = "drop" },
		"university \"univ-x\", which the fleet":     func(s *capture.Set) { s.Requests[3].Tenant = "univ-x" },
		"only 0 jobs tell their running time":        func(s *capture.Set) { s.Attempts = nil },
		"all tries are repeats":                      func(s *capture.Set) { s.Requests = []capture.Request{{Retry: true}} },
		"no job met a full worker":                   func(s *capture.Set) {},
		"running times of seat-check are no lognorm": func(s *capture.Set) { makeRunTimesBimodal(s) },
		"only 0 first tries were refused or failed": func(s *capture.Set) {
			for i := range s.Requests {
				s.Requests[i].Outcome = "served"
			}
		},
		"the capture has none": func(s *capture.Set) { // a capture without bursts, and a load with one
			for i := range s.Requests {
				if s.Requests[i].Arrived%5 < 2 {
					s.Requests[i].Tenant = "univ-gaspesie"
				} else {
					s.Requests[i].Tenant = "univ-laurentie"
				}
			}
		},
	} {
		if got := warnings(change); !strings.Contains(got, want) {
			t.Errorf("no warning contains %q: %q", want, got)
		}
	}
}

// makeRunTimesBimodal sets run times to either 20 ms or 420 ms.
func makeRunTimesBimodal(set *capture.Set) {
	for i := range set.Attempts {
		a := &set.Attempts[i]
		a.Ended = a.Started + 20e6 + int64(i%2)*400e6
	}
}
