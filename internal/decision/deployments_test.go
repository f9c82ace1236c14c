package decision

import (
	"math/rand/v2"
	"testing"
	"time"
)

// site is a deployment made up for the tests.
func site() Settings {
	class := func(e Idempotency, g DedupScope) ClassSettings {
		return ClassSettings{LatencyTarget: 300 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Idempotency: e, DedupScope: g,
			DedupWindow: 2 * time.Second, Value: 1, WorkerKind: -1}
	}
	return Settings{
		Dispatchers: 4, Kinds: 2, Discovery: DiscoveryPoll, MaxDiscoverySilence: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
		SlowStartShare: 0.2, SlowStartDuration: 20 * time.Second, OverloadMultiple: 4, OverloadSpan: 1500 * time.Millisecond,
		MaxAttempts: 3, ParallelAttempts: true, Cancel: true, ReportsStart: true, ProgressInterval: time.Second,
		Classes: []ClassSettings{class(Idempotent, 0), class(NotIdempotent, 0), class(Deduplicated, DedupByZone), class(Deduplicated, DedupByCell),
			class(Deduplicated, DedupByAll)},
		Tenants: []TenantSettings{{Share: 0.4, RatePerSecond: 40}, {Share: 0.2, RatePerSecond: 20}, {Share: 0.2, RatePerSecond: 20},
			{Share: 0.1, RatePerSecond: 10}, {Share: 0.1, RatePerSecond: 10}},
	}
}

func fleet(n int) []Entry {
	list := make([]Entry, n)
	for i := range list {
		list[i] = Entry{Worker: WorkerID(i*7919 + 13), Cell: i / 4, Zone: i % 3, Kind: i % 2, State: Ready}
	}
	return list
}

func must(t testing.TB, s Settings, seed uint64) *Dispatcher {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// shared sets a deployment up in which 80 dispatchers share the workers, which report free slots and queues.
func shared(s *Settings) {
	s.Dispatchers, s.ReportsLoad, s.ParallelAttempts, s.Report = 80, true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
	s.SlowStartShare, s.SlowStartDuration, s.OverloadMultiple, s.OverloadSpan = 0.3, 9*time.Second, 3, time.Second
}

// few sets a deployment up in which a handful of dispatchers pay for crossing zones, late answers earn
// nothing, value grows with the work and one class must never run twice.
func few(s *Settings) {
	shared(s)
	s.Dispatchers, s.CrossZoneCost, s.ValueByWork, s.ProgressInterval = 4, 0.08, true, 2*time.Second
}

// random draws settings within what the wire can say.
func random(rng *rand.Rand) Settings {
	flip := func() bool { return rng.IntN(2) == 0 }
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least+1)) * time.Millisecond
	}
	s := Settings{
		Dispatchers: 1 + rng.IntN(300)>>rng.IntN(9), Kinds: 1 + rng.IntN(4), Zones: rng.IntN(6), Zone: rng.IntN(3),
		Discovery: Discovery(rng.IntN(2)), MaxDiscoverySilence: ms(1000, 20000), DrainGrace: ms(100, 3000), AnswerGrace: 8 * time.Millisecond,
		SlowStartShare: 0.1 + 0.8*rng.Float64(), SlowStartDuration: ms(1000, 20000), OverloadMultiple: 2 + 3*rng.Float64(), OverloadSpan: ms(300, 3000),
		RejectionUnproven: flip(), ConnIdle: ms(0, 30000), MaxAttempts: rng.IntN(5), ParallelAttempts: flip(), Cancel: flip(), HealthChecks: flip(),
		PeerMessages: flip(), RetryAfter: flip(), MaxRetryAfter: ms(0, 2000), CrossZoneCost: 0.1 * rng.Float64() * float64(rng.IntN(2)),
		ValueByWork: flip(), OverQuotaValue: rng.Float64(), ReportsStart: flip(), ProgressInterval: ms(0, 2000), ReportsLoad: flip(),
		Report: LoadReportLayout{-1, -1, -1, -1, -1, -1}, Tick: ms(1, 10),
	}
	if flip() {
		s.DrainCloseWithin = ms(100, 1000)
	}
	at := rng.Perm(4)
	for i, field := range []*int{&s.Report.FreeSlots, &s.Report.Queue, &s.Report.InFlight, &s.Report.Util} {
		if rng.IntN(4) > 0 {
			*field = at[i]
		}
	}
	for range 1 + rng.IntN(4) {
		c := ClassSettings{LatencyTarget: ms(0, 1000), Stretch: 3 * rng.Float64(), Deadline: ms(500, 12000), Idempotency: Idempotency(rng.IntN(3)),
			DedupScope: DedupScope(rng.IntN(3)), DedupWindow: ms(0, 20000), Value: 10 * rng.Float64(), LateValue: rng.Float64() * float64(rng.IntN(2)), WorkerKind: -1}
		if rng.IntN(6) == 0 {
			c.AllowedKinds = []int{rng.IntN(s.Kinds)}
		}
		if rng.IntN(6) == 0 {
			c.AllowedZones = []int{rng.IntN(3), rng.IntN(3)}
		}
		s.Classes = append(s.Classes, c)
	}
	for range rng.IntN(9) {
		s.Tenants = append(s.Tenants, TenantSettings{Share: rng.Float64(), RatePerSecond: 30 * rng.Float64()})
	}
	return s
}
