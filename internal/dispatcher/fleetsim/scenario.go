package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gladepick/internal/decision"
)

// progressInterval is the time between the progress reports of a running job.
const progressInterval = time.Second

const maxDaySeconds = 1e6

// indexNames maps names to their indexes. An empty name, a duplicate name and an empty list are errors.
func indexNames[T any](key string, list []T, name func(*T) string) (map[string]int, error) {
	indexes := map[string]int{}
	for i := range list {
		entryName := name(&list[i])
		if _, duplicate := indexes[entryName]; duplicate || entryName == "" {
			return nil, fmt.Errorf("key %s.%d.name: %q is empty or a duplicate", key, i, entryName)
		}
		indexes[entryName] = i
	}
	if len(indexes) == 0 {
		return nil, fmt.Errorf("key %s: at least one entry is required", key)
	}
	return indexes, nil
}

// scenario is a validated fleet and load, with names resolved to indexes. It is immutable.
type scenario struct {
	*Fleet
	load         *Load
	zoneIndex    map[string]int
	kindIndex    map[string]int
	classIndex   map[string]int
	tenantIndex  map[string]int
	classLoads   []ClassLoad // by class
	tenantShares []float64   // by tenant
}

// newScenario fills in the fleet's defaults and validates a fleet and a load together. Its errors name the key.
func newScenario(fleet *Fleet, load *Load) (*scenario, error) {
	fleetCopy, loadCopy := *fleet.WithDefaults(), *load
	s := &scenario{Fleet: &fleetCopy, load: &loadCopy}
	if err := s.indexFleet(); err != nil {
		return nil, err
	}
	for _, check := range []func() error{s.checkKinds, s.checkGroups, s.checkClasses, s.checkFaults, s.resolveLoad, s.checkLoad} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// indexFleet builds the indexes of the names that the fleet defines.
func (s *scenario) indexFleet() error {
	var errs [3]error
	s.kindIndex, errs[0] = indexNames("kinds", s.Kinds, func(k *Kind) string { return k.Name })
	s.classIndex, errs[1] = indexNames("classes", s.Classes, func(c *Class) string { return c.Name })
	s.tenantIndex, errs[2] = indexNames("universities", s.Tenants, func(t *Tenant) string { return t.Name })
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	s.zoneIndex = map[string]int{}
	for i, zone := range s.Zones {
		if _, duplicate := s.zoneIndex[zone]; duplicate || zone == "" {
			return fmt.Errorf("key zones.%d: %q is empty or a duplicate", i, zone)
		}
		s.zoneIndex[zone] = i
	}
	return nil
}

// checkKnown returns an error if a name has no index. key is a format string; its one verb takes the index of the entry
// that refers to the name.
func checkKnown(index map[string]int, name, key string, entry int) error {
	if _, ok := index[name]; !ok {
		return fmt.Errorf("key %s: there is no %q", fmt.Sprintf(key, entry), name)
	}
	return nil
}

func (s *scenario) checkKinds() error {
	for i, k := range s.Kinds {
		if !(k.Cores > 0) || !(k.Speed[0] > 0) || k.Speed[1] < k.Speed[0] || k.Slots < 1 || k.Queue < 0 || k.SlowStartShare > 1 {
			return fmt.Errorf("key kinds.%d: %q needs cores, slots and speeds above 0, the lower speed first, a queue of 0 or more and a cold_share of at most 1", i, k.Name)
		}
	}
	return nil
}

func (s *scenario) checkGroups() error {
	for i, g := range s.Workers {
		if err := checkKnown(s.kindIndex, g.Kind, "workers.%d.kind", i); err != nil {
			return err
		}
		if err := checkKnown(s.zoneIndex, g.Zone, "workers.%d.zone", i); err != nil {
			return err
		}
	}
	for i, g := range s.Dispatchers {
		if err := checkKnown(s.zoneIndex, g.Zone, "dispatchers.%d.zone", i); err != nil {
			return err
		}
		if g.Count < 1 || g.Share < 0 {
			return fmt.Errorf("key dispatchers.%d: the count must be 1 or more and the share 0 or more", i)
		}
	}
	if len(s.Dispatchers) == 0 {
		return errors.New("key dispatchers: at least one entry is required")
	}
	return nil
}

func (s *scenario) checkClasses() error {
	for i, c := range s.Classes {
		if _, ok := idempotencies[c.Idempotency]; !ok {
			return fmt.Errorf("key classes.%d.effect: %q is not one of safe, keyed and unsafe", i, c.Idempotency)
		}
		if !(c.DeadlineSeconds > 0) || !(c.Value >= 0) || c.LatencyTargetSeconds < 0 {
			return fmt.Errorf("key classes.%d: deadline_s must be above 0, worth and aim_s must be 0 or more", i)
		}
	}
	return nil
}

func (s *scenario) checkFaults() error {
	for i, fault := range s.Faults {
		if fault.Zone != "" || fault.Type == faultZoneLost {
			if err := checkKnown(s.zoneIndex, fault.Zone, "troubles.%d.zone", i); err != nil {
				return err
			}
		}
		if fault.Kind != "" {
			if err := checkKnown(s.kindIndex, fault.Kind, "troubles.%d.kind", i); err != nil {
				return err
			}
		}
		if !slices.Contains(faultTypes, fault.Type) {
			return fmt.Errorf("key troubles.%d.what: unknown type %q", i, fault.Type)
		}
	}
	return nil
}

// resolveLoad orders the load's classes and tenants as the fleet orders its own, and fills in the load's defaults.
func (s *scenario) resolveLoad() error {
	s.classLoads, s.tenantShares = make([]ClassLoad, len(s.Classes)), make([]float64, len(s.Tenants))
	for i, c := range s.load.Classes {
		if err := checkKnown(s.classIndex, c.Name, "load: classes.%d.name", i); err != nil {
			return err
		}
		if !(c.WorkMs > 0) || c.CV < 0 || c.Share < 0 {
			return fmt.Errorf("load: key classes.%d: %q needs work_ms above 0, cv and share of 0 or more", i, c.Name)
		}
		s.classLoads[s.classIndex[c.Name]] = c
	}
	for i, t := range s.load.Tenants {
		if err := checkKnown(s.tenantIndex, t.Name, "load: universities.%d.name", i); err != nil {
			return err
		}
		s.tenantShares[s.tenantIndex[t.Name]] += t.Share
	}
	for i, b := range s.load.Bursts {
		if err := checkKnown(s.tenantIndex, b.Tenant, "load: bursts.%d.university", i); err != nil {
			return err
		}
	}
	if len(s.load.Tenants) == 0 { // by default the traffic is split in proportion to the quotas
		for i, t := range s.Tenants {
			s.tenantShares[i] = t.Share
		}
	}
	if s.load.Factor == 0 {
		s.load.Factor = 1
	}
	return nil
}

func (s *scenario) checkLoad() error {
	tenantShares, classShares := 0.0, 0.0
	for _, share := range s.tenantShares {
		tenantShares += share
	}
	for _, c := range s.classLoads {
		classShares += c.Share
	}
	switch {
	case !(s.load.Seconds > 0 && s.load.Seconds <= maxDaySeconds):
		return fmt.Errorf("load: key seconds: %v is not above 0 and at most 1000000", s.load.Seconds)
	case len(s.load.Rate) == 0:
		return errors.New("load: key rate: at least one entry is required")
	case !(tenantShares > 0):
		return errors.New("load: key universities: the sum of their shares must be above 0")
	case !(classShares > 0):
		return errors.New("load: key classes: the sum of their shares must be above 0")
	}
	for i, p := range s.load.Rate {
		if i > 0 && p.AtSeconds <= s.load.Rate[i-1].AtSeconds || !(p.PerSecond >= 0) {
			return fmt.Errorf("load: key rate.%d: at_s must increase, and per_s must be 0 or more", i)
		}
	}
	return nil
}

// idempotencies maps the values of Class.Idempotency to those of the decision module.
var idempotencies = map[string]decision.Idempotency{"safe": decision.Idempotent, "keyed": decision.Deduplicated, "unsafe": decision.NotIdempotent}

// sec converts seconds to a duration.
func sec(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// ms converts milliseconds to a duration.
func ms(millis float64) time.Duration { return time.Duration(millis * float64(time.Millisecond)) }

// reportFields is the number of values in a worker's load report: free slots, errors, rate and queue, as on the
// platform.
const reportFields = 4

// moduleSettings returns the decision module's settings for the dispatcher with index self out of count, as the
// platform sets them.
func (s *scenario) moduleSettings(self, count, zone int) decision.Settings {
	settings := decision.Settings{
		Self: self, Dispatchers: count, Zone: zone, Kinds: len(s.Kinds), Zones: len(s.Zones),
		Discovery: decision.DiscoveryPoll, MaxDiscoverySilence: 10 * time.Second, DrainGrace: sec(s.DrainGraceSeconds), AnswerGrace: 8 * time.Millisecond,
		SlowStartShare: s.SlowStart.Share, SlowStartDuration: sec(s.SlowStart.DurationSeconds), OverloadMultiple: s.SlowStart.OverloadMultiple, OverloadSpan: sec(s.SlowStart.OverloadSpanSeconds),
		ConnIdle: sec(s.ConnectionIdleSeconds), MaxAttempts: s.MaxAttempts, Cancel: true, MaxRetryAfter: 2 * time.Second, OverQuotaValue: s.OverQuotaValue,
		ReportsStart: true, ProgressInterval: progressInterval, ReportsLoad: true, Tick: 2 * time.Millisecond,
		Report: decision.LoadReportLayout{FreeSlots: 0, FreeMemory: -1, Queue: 3, InFlight: -1, Util: -1, Errors: 1},
	}
	for _, c := range s.Classes {
		settings.Classes = append(settings.Classes, decision.ClassSettings{LatencyTarget: sec(c.LatencyTargetSeconds), Stretch: c.Stretch, Deadline: sec(c.DeadlineSeconds),
			Idempotency: idempotencies[c.Idempotency], DedupScope: decision.DedupByAll, DedupWindow: sec(c.DedupWindowSeconds), Value: c.Value, LateValue: c.LateValue, WorkerKind: -1})
	}
	for _, tenant := range s.Tenants {
		settings.Tenants = append(settings.Tenants, decision.TenantSettings{Share: tenant.Share, RatePerSecond: tenant.RatePerSecond})
	}
	return settings
}
