package simadapter

import (
	"fmt"
	"strconv"

	"gladepick/internal/decision"
)

// Upper bounds of the values in a settings text.
const (
	maxListed = 1 << 16 // number of classes or tenants
	maxFactor = 1e6     // multiples, costs and shares
	maxAmount = 1e12    // values and rates
)

// ParseSettings parses the path=value lines of a configure event. It ignores unknown paths; a missing path leaves the
// default of its setting, mostly the zero value. The error of an invalid value names the value's path.
func ParseSettings(text string) (decision.Settings, error) {
	v := newValues(text)
	classes, tenants := int(v.floatWithin("classes.count", 0, 0, maxListed)), int(v.floatWithin("tenants.count", 0, 0, maxListed))
	if v.err != nil {
		return decision.Settings{}, v.err
	}
	s := v.settings()
	perClass := classLists{
		kinds:      v.list("specifics.class_kind"),
		priorities: v.list("specifics.class_priority"),
		stretches:  v.list("specifics.class_stretch"),
	}
	for i := range classes {
		c := v.class(i)
		if err := perClass.apply(i, &c); err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, v.tenant(i))
	}
	return s, v.err
}

// settings parses everything except classes and tenants.
func (v *values) settings() decision.Settings {
	s := decision.Settings{
		Self:                v.integer("position"),
		Dispatchers:         v.integer("balancers"),
		Zone:                v.integer("zone"),
		Kinds:               len(v.list("kinds")),
		Zones:               len(v.list("zones")),
		MaxDiscoverySilence: v.duration("invariants.ask_within"),
		DrainGrace:          v.duration("invariants.drain_grace"),
		AnswerGrace:         v.duration("invariants.grace_to_answer"),
		SlowStartShare:      v.floatWithin("invariants.cold_from", 0, 0, 1),
		SlowStartDuration:   v.duration("invariants.warm_after"),
		OverloadMultiple:    v.floatWithin("invariants.fall_multiple", 0, 0, maxFactor),
		OverloadSpan:        v.duration("invariants.fall"),
		DrainCloseWithin:    v.duration("invariants.drain_close"),
		RejectionUnproven:   v.flag("invariants.full_unproven"),
		TailWeight:          v.float("goal.tail_part", 0),
		ToleratedMisses:     v.float("goal.borne_misses", 0),
		ConnIdle:            v.duration("limits.conn_idle"),
		MaxAttempts:         v.integer("limits.max_attempts"),
		ParallelAttempts:    v.flag("limits.parallel_tries"),
		Cancel:              v.flag("limits.cancelling"),
		HealthChecks:        v.flag("limits.probes"),
		PeerMessages:        v.flag("limits.peers"),
		RetryAfter:          v.flag("limits.retry_after"),
		MaxRetryAfter:       v.duration("limits.max_retry_after"),
		CrossZoneCost:       v.floatWithin("deductions.cross_zone", 0, 0, maxFactor),
		ValueByWork:         v.word("worth_by", "request", "work") == "work",
		OverQuotaValue:      v.floatWithin("over_share_worth", 1, 0, maxFactor),
		ReportsStart:        v.flag("specifics.tells_start"),
		ProgressInterval:    v.duration("specifics.progress"),
		Report:              v.reportLayout(),
		ReportsLoad:         v.word("report.how", "piggyback", "pull", "silent") == "piggyback",
		Tick:                v.duration("round"),
	}
	if v.word("discovery", "automatic", "subscribe") == "subscribe" {
		s.Discovery = decision.DiscoveryPoll
	}
	if s.Zones > 0 && s.Zone >= s.Zones {
		v.outOfBounds("zone", fmt.Sprintf("below %d, the number of zones", s.Zones))
	}
	return s
}

// reportLayout returns the indices of the load values that the module uses. The index of a value that is not reported
// is -1.
func (v *values) reportLayout() decision.LoadReportLayout {
	r := decision.LoadReportLayout{FreeSlots: -1, FreeMemory: -1, Queue: -1, InFlight: -1, Util: -1, Errors: -1}
	for i, name := range v.list("report.fields") {
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

// class parses the settings of class i. By default a job must never run twice, and duplicates are detected in the
// narrowest scope only.
func (v *values) class(i int) decision.ClassSettings {
	at := fmt.Sprintf("classes.%d.", i)
	c := decision.ClassSettings{
		LatencyTarget: v.duration(at + "aim"),
		Stretch:       v.floatWithin(at+"aim_stretch", 0, 0, maxFactor),
		Deadline:      v.duration(at + "deadline"),
		DedupWindow:   v.duration(at + "window"),
		Value:         v.floatWithin(at+"value", 1, 0, maxAmount),
		LateValue:     v.floatWithin(at+"late_value", 0, 0, 1),
		Stream:        v.flag(at + "stream"),
		WorkerKind:    -1,
		AllowedKinds:  v.integers(at + "bound_to"),
		AllowedZones:  v.integers(at + "zones_open"),
	}
	switch v.word(at+"effect", "free", "guarded", "single_shot") {
	case "free":
		c.Idempotency = decision.Idempotent
	case "guarded":
		c.Idempotency = decision.Deduplicated
	}
	switch v.word(at+"group", "all", "zone", "cell") {
	case "all":
		c.DedupScope = decision.DedupByAll
	case "zone":
		c.DedupScope = decision.DedupByZone
	}
	return c
}

// tenant parses the settings of tenant i.
func (v *values) tenant(i int) decision.TenantSettings {
	at := fmt.Sprintf("tenants.%d.", i)
	return decision.TenantSettings{
		Share:         v.floatWithin(at+"portion", 0, 0, maxFactor),
		RatePerSecond: v.floatWithin(at+"allowance_per_s", 0, 0, maxAmount),
	}
}

// classLists holds lists with one value per class. The last value of a list also applies to all further classes.
type classLists struct {
	kinds, priorities, stretches []string
}

// apply sets the values that the lists have for a class.
func (l *classLists) apply(class int, c *decision.ClassSettings) error {
	kind, priority := float64(c.WorkerKind), float64(c.Priority)
	for _, list := range []struct {
		texts []string
		field *float64
	}{
		{l.kinds, &kind},
		{l.priorities, &priority},
		{l.stretches, &c.Stretch},
	} {
		if len(list.texts) == 0 {
			continue
		}
		text := list.texts[min(class, len(list.texts)-1)]
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= -1 && value < maxFactor) {
			return fmt.Errorf("setting specifics, class %d: %q is not a number of at least -1", class, text)
		}
		*list.field = value
	}
	c.WorkerKind, c.Priority = int(kind), int(priority)
	return nil
}
