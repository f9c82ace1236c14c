package simadapter

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// pairs is the settings text, with the first error met while reading values.
type pairs struct {
	m   map[string]string
	err error
}

// read finds a value and parses it; a missing key leaves the default.
func read[T any](p *pairs, key string, otherwise T, parse func(string) (T, error)) T {
	text, ok := p.m[key]
	if !ok || text == "" {
		return otherwise
	}
	v, err := parse(text)
	if err != nil {
		if p.err == nil {
			p.err = fmt.Errorf("setting %s: %q is not valid", key, text)
		}
		return otherwise
	}
	return v
}

func (p *pairs) float(key string, otherwise float64) float64 {
	return read(p, key, otherwise, func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

// bad notes what is wrong with a value; the first such note is the error.
func (p *pairs) bad(key, right string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %q is not %s", key, p.m[key], right)
	}
}

// within reads a number that has bounds.
func (p *pairs) within(key string, otherwise, least, most float64) float64 {
	v := p.float(key, otherwise)
	if p.m[key] != "" && !(v >= least && v <= most) {
		p.bad(key, fmt.Sprintf("in %g to %g", least, most))
	}
	return v
}

// int reads a whole number from least on.
func (p *pairs) int(key string, otherwise, least int) int {
	v := read(p, key, otherwise, strconv.Atoi)
	if p.m[key] != "" && v < least {
		p.bad(key, fmt.Sprintf("%d or more", least))
	}
	return v
}

func (p *pairs) flag(key string) bool { return read(p, key, false, strconv.ParseBool) }

// span reads nanoseconds, which may be written as a float.
func (p *pairs) span(key string) time.Duration {
	return time.Duration(min(p.within(key, 0, 0, math.MaxInt64), math.MaxInt64/2))
}

// mode reads one of a few words; none at all leaves what the settings do not state.
func (p *pairs) mode(key string, words ...string) string {
	v := p.m[key]
	if v != "" && !slices.Contains(words, v) {
		p.bad(key, "one of "+strings.Join(words, ", "))
	}
	return v
}

// list splits a list of simple values.
func (p *pairs) list(key string) []string {
	if p.m[key] == "" {
		return nil
	}
	return strings.Split(p.m[key], ",")
}

// numbers reads a list of numbers.
func (p *pairs) numbers(key string) (out []int) {
	for _, text := range p.list(key) {
		v, err := strconv.Atoi(text)
		if err != nil && p.err == nil {
			p.err = fmt.Errorf("setting %s: %q is not valid", key, text)
		}
		out = append(out, v)
	}
	return out
}

// ParseSettings reads the path=value lines of a configure event. Unknown keys
// are passed over and missing ones leave zero values; a value that cannot be
// read is an error that names its key.
func ParseSettings(text string) (decision.Settings, error) {
	p := &pairs{m: make(map[string]string)}
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.m[key] = value
		}
	}
	const most = 1 << 16
	classes, tenants := int(p.within("classes.count", 0, 0, most)), int(p.within("tenants.count", 0, 0, most))
	if p.err != nil {
		return decision.Settings{}, p.err
	}
	s := decision.Settings{
		Self:                p.int("position", 0, 0),
		Dispatchers:         p.int("balancers", 0, 0),
		Zone:                p.int("zone", 0, 0),
		Kinds:               len(p.list("kinds")),
		Zones:               len(p.list("zones")),
		MaxDiscoverySilence: p.span("invariants.ask_within"),
		DrainGrace:          p.span("invariants.drain_grace"),
		AnswerGrace:         p.span("invariants.grace_to_answer"),
		SlowStartShare:      p.within("invariants.cold_from", 0, 0, 1),
		SlowStartDuration:   p.span("invariants.warm_after"),
		OverloadMultiple:    p.within("invariants.fall_multiple", 0, 0, 1e6),
		OverloadSpan:        p.span("invariants.fall"),
		DrainCloseWithin:    p.span("invariants.drain_close"),
		RejectionUnproven:   p.flag("invariants.full_unproven"),
		TailWeight:          p.float("goal.tail_part", 0),
		ToleratedMisses:     p.float("goal.borne_misses", 0),
		ConnIdle:            p.span("limits.conn_idle"),
		MaxAttempts:         p.int("limits.max_attempts", 0, 0),
		ParallelAttempts:    p.flag("limits.parallel_tries"),
		Cancel:              p.flag("limits.cancelling"),
		HealthChecks:        p.flag("limits.probes"),
		PeerMessages:        p.flag("limits.peers"),
		RetryAfter:          p.flag("limits.retry_after"),
		MaxRetryAfter:       p.span("limits.max_retry_after"),
		CrossZoneCost:       p.within("deductions.cross_zone", 0, 0, 1e6),
		ValueByWork:         p.mode("worth_by", "request", "work") == "work",
		OverQuotaValue:      p.within("over_share_worth", 1, 0, 1e6),
		ReportsStart:        p.flag("specifics.tells_start"),
		ProgressInterval:    p.span("specifics.progress"),
		Report:              report(p),
		ReportsLoad:         p.mode("report.how", "piggyback", "pull", "silent") == "piggyback",
		Tick:                p.span("round"),
	}
	if p.mode("discovery", "automatic", "subscribe") == "subscribe" {
		s.Discovery = decision.DiscoveryPoll
	}
	if s.Zones > 0 && s.Zone >= s.Zones {
		p.bad("zone", fmt.Sprintf("below %d, the number of zones", s.Zones))
	}
	kinds, priorities, stretches := p.list("specifics.class_kind"), p.list("specifics.class_priority"), p.list("specifics.class_stretch")
	for i := range classes {
		at := fmt.Sprintf("classes.%d.", i)
		c := decision.ClassSettings{
			LatencyTarget: p.span(at + "aim"),
			Stretch:       p.within(at+"aim_stretch", 0, 0, 1e6),
			Deadline:      p.span(at + "deadline"),
			DedupWindow:   p.span(at + "window"),
			Value:         p.within(at+"value", 1, 0, 1e12),
			LateValue:     p.within(at+"late_value", 0, 0, 1),
			Stream:        p.flag(at + "stream"),
			WorkerKind:    -1,
			AllowedKinds:  p.numbers(at + "bound_to"),
			AllowedZones:  p.numbers(at + "zones_open"),
		}
		switch p.mode(at+"effect", "free", "guarded", "single_shot") { // not stated: it must never run twice
		case "free":
			c.Idempotency = decision.Idempotent
		case "guarded":
			c.Idempotency = decision.Deduplicated
		}
		switch p.mode(at+"group", "all", "zone", "cell") { // not stated: the narrowest
		case "all":
			c.DedupScope = decision.DedupByAll
		case "zone":
			c.DedupScope = decision.DedupByZone
		}
		// A list is one value a class; the last serves for the rest.
		for _, f := range []struct {
			list []string
			set  func(float64)
		}{
			{kinds, func(v float64) { c.WorkerKind = int(v) }},
			{priorities, func(v float64) { c.Priority = int(v) }},
			{stretches, func(v float64) { c.Stretch = v }},
		} {
			if len(f.list) == 0 {
				continue
			}
			text := f.list[min(i, len(f.list)-1)]
			v, err := strconv.ParseFloat(text, 64)
			if err != nil || !(v >= -1 && v < 1e6) {
				return s, fmt.Errorf("setting specifics, class %d: %q is no number from -1 on", i, text)
			}
			f.set(v)
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range tenants {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, decision.TenantSettings{
			Share: p.within(at+"portion", 0, 0, 1e6), RatePerSecond: p.within(at+"allowance_per_s", 0, 0, 1e12),
		})
	}
	return s, p.err
}

// report finds the places of the values that the module can use.
func report(p *pairs) decision.LoadReportLayout {
	r := decision.LoadReportLayout{FreeSlots: -1, FreeMemory: -1, Queue: -1, InFlight: -1, Util: -1, Errors: -1}
	for i, name := range p.list("report.fields") {
		switch name {
		case "x0":
			r.FreeSlots = i
		case "x1":
			r.FreeMemory = i
		case "q":
			r.Queue = i
		case "rif":
			r.InFlight = i
		case "busy":
			r.Util = i
		case "fail_rate":
			r.Errors = i
		}
	}
	return r
}
