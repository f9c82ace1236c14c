package decision

import (
	"math"
	"testing"
	"time"
)

// A dispatcher must work with no settings at all.
func TestMissingSettingsGetDefaults(t *testing.T) {
	c := newChecker(t, Settings{}, 1)
	c.settings.Classes = []ClassSettings{{Idempotency: NotIdempotent}}
	c.event(Event{Kind: EventJob, Job: 1, Tenant: 9, Deadline: c.now + time.Second})
	c.event(Event{Kind: EventList, List: ListDelta, Entries: testWorkers(3)})
	c.event(Event{Kind: EventJob, Job: 2, Deadline: c.now + time.Second})
	if !c.jobs[1].answered || len(c.jobs[2].sends) != 1 {
		t.Errorf("without a list answered %v, with one %d sends", c.jobs[1].answered, len(c.jobs[2].sends))
	}
}

// The error for a setting that is out of range must name the setting.
func TestSettingsThatCannotWorkAreNamed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"SlowStartShare":    func(s *Settings) { s.SlowStartShare = math.NaN() },
		"SlowStartDuration": func(s *Settings) { s.SlowStartDuration = -1 },
		"Kinds":             func(s *Settings) { s.Kinds = MaxKinds + 1 },
		"MaxAttempts":       func(s *Settings) { s.MaxAttempts = -1 },
		"Classes[1]":        func(s *Settings) { s.Classes[1].LatencyTarget = -1 },
		"DrainCloseWithin":  func(s *Settings) { s.DrainCloseWithin = -1 },
		"ToleratedMisses":   func(s *Settings) { s.ToleratedMisses = -0.1 },
		"Tenants[2]":        func(s *Settings) { s.Tenants[2].Share = math.Inf(1) },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || err.Error() != "decision: setting "+name+" is out of range" {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
