package decision

import (
	"math/rand/v2"
	"testing"
	"time"
)

// testSettings returns the settings of a deployment invented for the tests.
func testSettings() Settings {
	class := func(idempotency Idempotency, scope DedupScope) ClassSettings {
		return ClassSettings{
			LatencyTarget: 300 * time.Millisecond,
			Stretch:       2,
			Deadline:      5 * time.Second,
			Idempotency:   idempotency,
			DedupScope:    scope,
			DedupWindow:   2 * time.Second,
			Value:         1,
			WorkerKind:    -1,
		}
	}
	return Settings{
		Dispatchers:         4,
		Kinds:               2,
		Discovery:           DiscoveryPoll,
		MaxDiscoverySilence: 10 * time.Second,
		DrainGrace:          500 * time.Millisecond,
		SlowStartShare:      0.2,
		SlowStartDuration:   20 * time.Second,
		OverloadMultiple:    4,
		OverloadSpan:        1500 * time.Millisecond,
		MaxAttempts:         3,
		ParallelAttempts:    true,
		Cancel:              true,
		ReportsStart:        true,
		ProgressInterval:    time.Second,
		Classes: []ClassSettings{
			class(Idempotent, 0),
			class(NotIdempotent, 0),
			class(Deduplicated, DedupByZone),
			class(Deduplicated, DedupByCell),
			class(Deduplicated, DedupByAll),
		},
		Tenants: []TenantSettings{
			{Share: 0.4, RatePerSecond: 40},
			{Share: 0.2, RatePerSecond: 20},
			{Share: 0.2, RatePerSecond: 20},
			{Share: 0.1, RatePerSecond: 10},
			{Share: 0.1, RatePerSecond: 10},
		},
	}
}

// testWorkers returns a list of n ready workers of two kinds in three zones.
func testWorkers(n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = Entry{Worker: WorkerID(i*7919 + 13), Cell: i / 4, Zone: i % 3, Kind: i % 2, State: Ready}
	}
	return list
}

// newTestDispatcher returns a dispatcher with the settings and fails the test if they are invalid.
func newTestDispatcher(t testing.TB, settings Settings, seed uint64) *Dispatcher {
	t.Helper()
	dispatcher, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return dispatcher
}

// loadReportSettings configures workers that report free slots and queue lengths, and jobs with one attempt
// at a time.
func loadReportSettings(s *Settings) {
	s.ReportsLoad = true
	s.ParallelAttempts = false
	s.Report = LoadReportLayout{FreeSlots: 0, Queue: 1, FreeMemory: -1, InFlight: -1, Util: -1, Errors: -1}
}

// sharedFleetSettings configures 80 dispatchers that share workers, which report free slots and queue
// lengths.
func sharedFleetSettings(s *Settings) {
	loadReportSettings(s)
	s.Dispatchers = 80
	s.SlowStartShare = 0.3
	s.SlowStartDuration = 9 * time.Second
	s.OverloadMultiple = 3
	s.OverloadSpan = time.Second
}

// costlyZoneSettings configures a few dispatchers for which crossing zones is expensive, late answers earn
// nothing, value grows with the run time, and one class must not run twice.
func costlyZoneSettings(s *Settings) {
	sharedFleetSettings(s)
	s.Dispatchers = 4
	s.CrossZoneCost = 0.08
	s.ValueByWork = true
	s.ProgressInterval = 2 * time.Second
}

// randomSettings draws settings within the range of the wire format. The recorded hashes of the actions
// depend on the order of the draws, so fields are drawn in the order in which they are written.
func randomSettings(rng *rand.Rand) Settings {
	flip := func() bool { return rng.IntN(2) == 0 }
	s := Settings{
		Dispatchers:         1 + rng.IntN(300)>>rng.IntN(9),
		Kinds:               1 + rng.IntN(4),
		Zones:               rng.IntN(6),
		Zone:                rng.IntN(3),
		Discovery:           Discovery(rng.IntN(2)),
		MaxDiscoverySilence: randomMilliseconds(rng, 1000, 20000),
		DrainGrace:          randomMilliseconds(rng, 100, 3000),
		AnswerGrace:         8 * time.Millisecond,
		SlowStartShare:      0.1 + 0.8*rng.Float64(),
		SlowStartDuration:   randomMilliseconds(rng, 1000, 20000),
		OverloadMultiple:    2 + 3*rng.Float64(),
		OverloadSpan:        randomMilliseconds(rng, 300, 3000),
		RejectionUnproven:   flip(),
		ConnIdle:            randomMilliseconds(rng, 0, 30000),
		MaxAttempts:         rng.IntN(5),
		ParallelAttempts:    flip(),
		Cancel:              flip(),
		HealthChecks:        flip(),
		PeerMessages:        flip(),
		RetryAfter:          flip(),
		MaxRetryAfter:       randomMilliseconds(rng, 0, 2000),
		CrossZoneCost:       0.1 * rng.Float64() * float64(rng.IntN(2)),
		ValueByWork:         flip(),
		OverQuotaValue:      rng.Float64(),
		ReportsStart:        flip(),
		ProgressInterval:    randomMilliseconds(rng, 0, 2000),
		ReportsLoad:         flip(),
		Report:              LoadReportLayout{-1, -1, -1, -1, -1, -1},
		Tick:                randomMilliseconds(rng, 1, 10),
	}
	if flip() {
		s.DrainCloseWithin = randomMilliseconds(rng, 100, 1000)
	}
	at := rng.Perm(4)
	for i, field := range []*int{&s.Report.FreeSlots, &s.Report.Queue, &s.Report.InFlight, &s.Report.Util} {
		if rng.IntN(4) > 0 {
			*field = at[i]
		}
	}
	for range 1 + rng.IntN(4) {
		s.Classes = append(s.Classes, randomClass(rng, s.Kinds))
	}
	for range rng.IntN(9) {
		tenant := TenantSettings{Share: rng.Float64(), RatePerSecond: 30 * rng.Float64()}
		s.Tenants = append(s.Tenants, tenant)
	}
	return s
}

func randomClass(rng *rand.Rand, kinds int) ClassSettings {
	class := ClassSettings{
		LatencyTarget: randomMilliseconds(rng, 0, 1000),
		Stretch:       3 * rng.Float64(),
		Deadline:      randomMilliseconds(rng, 500, 12000),
		Idempotency:   Idempotency(rng.IntN(3)),
		DedupScope:    DedupScope(rng.IntN(3)),
		DedupWindow:   randomMilliseconds(rng, 0, 20000),
		Value:         10 * rng.Float64(),
		LateValue:     rng.Float64() * float64(rng.IntN(2)),
		WorkerKind:    -1,
	}
	if rng.IntN(6) == 0 {
		class.AllowedKinds = []int{rng.IntN(kinds)}
	}
	if rng.IntN(6) == 0 {
		class.AllowedZones = []int{rng.IntN(3), rng.IntN(3)}
	}
	return class
}

func randomMilliseconds(rng *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rng.IntN(most-least+1)) * time.Millisecond
}
