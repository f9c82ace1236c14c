package simadapter

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
)

func TestSettingsAreParsed(t *testing.T) {
	s, err := ParseSettings(`balancers=4
classes.count=2
classes.0.aim=300000000
classes.0.effect=free
classes.1.effect=guarded
classes.1.group=zone
classes.1.window=7500000000
discovery=subscribe
unheard.of=1
kinds=a,b
report.fields=x0,q
specifics.class_kind=-1,1
specifics.class_stretch=2.0,2.5
tenants.count=1
tenants.0.portion=0.5
deductions.origin=0.15
zones=x,y,z
classes.0.bound_to=1
classes.1.zones_open=0,2
classes.1.bound_to=
invariants.drain_close=800000000
invariants.full_unproven=true
goal.tail_part=0.3
goal.borne_misses=0.02
worth_by=work
`)
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes
	if s.Dispatchers != 4 || s.Kinds != 2 || s.Discovery != decision.DiscoveryPoll || s.Report.Queue != 1 || s.Report.Util != -1 ||
		s.Tenants[0].Share != 0.5 || len(c) != 2 || c[0].LatencyTarget != 300*time.Millisecond || c[0].Idempotency != decision.Idempotent || c[0].WorkerKind != -1 ||
		c[1].Idempotency != decision.Deduplicated || c[1].DedupScope != decision.DedupByZone || c[1].WorkerKind != 1 || c[1].Stretch != 2.5 || c[1].Value != 1 {
		t.Errorf("unexpected settings %+v", s)
	}
	if s.Zones != 3 || s.DrainCloseWithin != 800*time.Millisecond || !s.RejectionUnproven || s.TailWeight != 0.3 || s.ToleratedMisses != 0.02 || !s.ValueByWork ||
		!slices.Equal(c[0].AllowedKinds, []int{1}) || len(c[0].AllowedZones) > 0 || !slices.Equal(c[1].AllowedZones, []int{0, 2}) || len(c[1].AllowedKinds) > 0 {
		t.Errorf("unexpected settings %+v", s)
	}
}

// The error of a value that cannot be parsed must name its path.
func TestErrorsNamePathOfInvalidSetting(t *testing.T) {
	for _, bad := range []string{"invariants.full_unproven=perhaps", "classes.count=-1", "classes.count=99999999", "limits.peers=maybe", "invariants.cold_from=NaN"} {
		if _, err := ParseSettings(bad); err == nil || !strings.Contains(err.Error(), strings.Split(bad, "=")[0]) {
			t.Errorf("%s: error %v", bad, err)
		}
	}
}

// The error of a value outside its bounds must name the path, the value and the bounds.
func TestErrorsNameBoundsOfSetting(t *testing.T) {
	for _, bad := range []struct{ path, value, bounds string }{
		{"discovery", "shout", "one of automatic, subscribe"},
		{"report.how", "post", "one of piggyback, pull, silent"},
		{"worth_by", "weight", "one of request, work"},
		{"classes.0.effect", "unsafe", "one of free, guarded, single_shot"},
		{"classes.0.group", "house", "one of all, zone, cell"},
		{"classes.0.window", "-5", "in 0 to"},
		{"classes.0.late_value", "1.5", "in 0 to 1"},
		{"classes.0.value", "-1", "in 0 to"},
		{"invariants.cold_from", "1.1", "in 0 to 1"},
		{"invariants.drain_grace", "-1", "in 0 to"},
		{"limits.max_attempts", "-1", "0 or more"},
		{"tenants.0.portion", "-0.5", "in 0 to"},
		{"deductions.cross_zone", "-0.1", "in 0 to"},
		{"zone", "5", "below 2, the number of zones"},
		{"position", "-1", "0 or more"},
	} {
		_, err := ParseSettings("classes.count=1\ntenants.count=1\nzones=a,b\n" + bad.path + "=" + bad.value)
		if err == nil || !strings.Contains(err.Error(), fmt.Sprintf("setting %s: %q is not %s", bad.path, bad.value, bad.bounds)) {
			t.Errorf("%s=%s: error %v", bad.path, bad.value, err)
		}
	}
}
