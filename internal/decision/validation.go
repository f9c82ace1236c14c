package decision

import (
	"fmt"
	"math"
	"slices"
)

// validate returns an error that names the first setting that is out of range.
func (s *Settings) validate() error {
	if err := s.validateScalars(); err != nil {
		return err
	}
	for i := range s.Classes {
		if !s.Classes[i].valid() {
			return fmt.Errorf("decision: setting Classes[%d] is out of range", i)
		}
	}
	for i := range s.Tenants {
		if !s.Tenants[i].valid() {
			return fmt.Errorf("decision: setting Tenants[%d] is out of range", i)
		}
	}
	return nil
}

// validateScalars checks the settings that are not specific to a class or a tenant.
func (s *Settings) validateScalars() error {
	for _, setting := range []struct {
		name  string
		valid bool
	}{
		{"Dispatchers", s.Dispatchers >= 0},
		{"Kinds", s.Kinds >= 0 && s.Kinds <= MaxKinds},
		{"MaxAttempts", s.MaxAttempts >= 0},
		{"MaxDiscoverySilence", s.MaxDiscoverySilence >= 0},
		{"DrainGrace", s.DrainGrace >= 0},
		{"SlowStartDuration", s.SlowStartDuration >= 0},
		{"OverloadSpan", s.OverloadSpan >= 0},
		{"DrainCloseWithin", s.DrainCloseWithin >= 0},
		{"Zones", s.Zones >= 0},
		{"ConnIdle", s.ConnIdle >= 0},
		{"MaxRetryAfter", s.MaxRetryAfter >= 0},
		{"TailWeight", s.TailWeight >= 0},
		{"ToleratedMisses", s.ToleratedMisses >= 0},
		{"SlowStartShare", s.SlowStartShare >= 0 && s.SlowStartShare <= 1},
		{"OverloadMultiple", s.OverloadMultiple >= 0 && s.OverloadMultiple <= math.MaxFloat32},
	} {
		if !setting.valid {
			return fmt.Errorf("decision: setting %s is out of range", setting.name)
		}
	}
	return nil
}

// valid reports whether the settings of a class are in range. The comparisons are written so that NaN fails
// them.
func (c *ClassSettings) valid() bool {
	times := c.LatencyTarget >= 0 && c.Deadline >= 0 && c.DedupWindow >= 0
	values := c.Value >= 0 && c.Stretch >= 0
	return times && values && c.WorkerKind >= -1
}

// valid reports whether the settings of a tenant are in range. The comparisons are written so that NaN fails
// them.
func (t *TenantSettings) valid() bool {
	share := t.Share >= 0 && t.Share <= math.MaxFloat32
	rate := t.RatePerSecond >= 0 && t.RatePerSecond <= math.MaxFloat32
	return share && rate
}

// withDefaults returns the settings with defaults for missing values.
func (s Settings) withDefaults() Settings {
	if !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	s.Kinds = max(s.Kinds, 1)
	s.Dispatchers = max(s.Dispatchers, 1)
	if len(s.Classes) == 0 { // nothing is known about the jobs: assume the strictest class
		s.Classes = []ClassSettings{{Idempotency: NotIdempotent, Value: 1, WorkerKind: -1}}
	}
	// Jobs of unlisted tenants count as those of an additional tenant without a share.
	s.Tenants = append(slices.Clip(s.Tenants), TenantSettings{})
	return s
}

// normalized returns a job's event with values that the settings do not allow replaced with valid ones.
func (ev *Event) normalized(settings *Settings) Event {
	event := *ev
	if !(event.Slots > 0 && event.Slots < math.MaxInt32) { // also catches NaN
		event.Slots = 1
	}
	if event.Deadline <= 0 {
		event.Deadline = math.MaxInt64
	}
	event.Class = min(max(event.Class, 0), len(settings.Classes)-1)
	if event.Tenant < 0 || event.Tenant >= len(settings.Tenants) {
		event.Tenant = len(settings.Tenants) - 1
	}
	return event
}

// normalize replaces values that the settings do not allow with valid ones, and reports whether the entry's
// kind or zone is unknown. An invalid weight counts as 1.
func (e *Entry) normalize(settings *Settings) (unknownPlacement bool) {
	if !(e.Weight > 0 && e.Weight < math.MaxFloat32) { // also catches NaN
		e.Weight = 1
	}
	unknownKind := e.Kind < 0 || e.Kind >= settings.Kinds
	unknownZone := e.Zone < 0 || settings.Zones > 0 && e.Zone >= settings.Zones
	e.Kind = min(max(e.Kind, 0), settings.Kinds-1)
	return unknownKind || unknownZone
}
