package simcluster

import (
	"net/http"
	"time"
)

// checkStaleConfigurations checks that no message is handled in a way that only outdated configurations allow, once
// configurationBound has passed since a newer one was acknowledged.
func (a *audit) checkStaleConfigurations() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		attempt := a.attempts[arrival.RequestID]
		if attempt == nil || !arrival.Result.Ran() || !a.faultFree(arrival.At) || !a.faultFree(attempt.SentAt) {
			continue
		}
		minimum := a.acknowledgedBy(attempt.SentAt - configurationBound)
		if newest, known := a.newestAllowing(attempt.Route, arrival.Service, arrival.At); !known || newest < minimum {
			a.report(RuleConfiguration, arrival.At,
				"%s (sent at %v) ran at %s, which only versions up to %d allow, but version %d was acknowledged",
				arrival.RequestID, attempt.SentAt, arrival.Service, newest, minimum)
		}
	}
}

// acknowledgedBy returns the newest version that was acknowledged at or before a time.
func (a *audit) acknowledgedBy(at time.Duration) uint64 {
	newest := uint64(0)
	for i := range a.Changes {
		if change := &a.Changes[i]; change.Acknowledged() && change.AnsweredAt <= at {
			newest = max(newest, change.Configuration.Version)
		}
	}
	return newest
}

// newestAllowing returns the newest version that routes a route's messages to a service. It considers only versions
// that were sent at or before a time and were not refused.
func (a *audit) newestAllowing(route, service string, by time.Duration) (uint64, bool) {
	newest, known := uint64(0), false
	for i := range a.Changes {
		if change := &a.Changes[i]; change.allows(route, service, by) {
			newest, known = max(newest, change.Configuration.Version), true
		}
	}
	return newest, known
}

// oldestAllowing returns the oldest version that is at least minimum and routes a route's messages to a service. It
// considers the same versions as newestAllowing.
func (a *audit) oldestAllowing(route, service string, by time.Duration, minimum uint64) (uint64, bool) {
	oldest, known := uint64(0), false
	for i := range a.Changes {
		change := &a.Changes[i]
		version := change.Configuration.Version
		if change.allows(route, service, by) && version >= minimum && (!known || version < oldest) {
			oldest, known = version, true
		}
	}
	return oldest, known
}

func (c *ConfigurationChange) allows(route, service string, by time.Duration) bool {
	if !c.mayBeInForce() || c.SentAt > by {
		return false
	}
	found := c.Configuration.Route(route)
	return found != nil && found.Service == service
}

// processID identifies one process. A machine runs one process after another.
type processID struct {
	machine     string
	incarnation int
}

// observedVersion is a version that a process demonstrably had in force.
type observedVersion struct {
	version uint64
	at      time.Duration
}

// checkRegressions checks that no process returns to a configuration older than one that it has used before.
func (a *audit) checkRegressions() {
	shown := make(map[processID][]observedVersion)
	for _, run := range a.sortedRuns() {
		attempt := a.attempts[run.RequestID]
		if attempt == nil {
			continue
		}
		sender := processID{run.Sender, run.Incarnation}
		minimum := newestBefore(shown[sender], attempt.SentAt-revertSlack)
		version, allowed := a.oldestAllowing(attempt.Route, run.Service, run.At, minimum)
		if !allowed {
			a.report(RuleConfiguration, run.At,
				"%s returned to an older configuration: %s (sent at %v) ran at %s, but version %d was in force there before",
				run.Sender, run.RequestID, attempt.SentAt, run.Service, minimum)
			continue
		}
		if newestBefore(shown[sender], run.At) < version {
			shown[sender] = append(shown[sender], observedVersion{version, run.At})
		}
	}
}

// newestBefore returns the newest version that was observed before a time.
func newestBefore(shown []observedVersion, before time.Duration) uint64 {
	newest := uint64(0)
	for _, seen := range shown {
		if seen.at < before {
			newest = max(newest, seen.version)
		}
	}
	return newest
}

// checkRoutes checks that fronts neither answer 404 nor accept messages according to an outdated configuration.
func (a *audit) checkRoutes() {
	for i := range a.Attempts {
		attempt := &a.Attempts[i]
		missing := attempt.Status == http.StatusNotFound
		if !missing && !attempt.Accepted() || !a.faultFree(attempt.AnsweredAt) {
			continue
		}
		minimum := a.acknowledgedBy(attempt.SentAt - configurationBound)
		if !a.anyVersionExplains(minimum, attempt, missing) {
			a.report(RuleConfiguration, attempt.AnsweredAt,
				"%s on route %s got status %d from %s, which no version from %d on allows",
				attempt.RequestID, attempt.Route, attempt.Status, attempt.Front, minimum)
		}
	}
}

// anyVersionExplains reports whether any version explains the response to an attempt. Such a version may be in force,
// is at least minimum, and lacks the route if missing is set or has the route otherwise.
func (a *audit) anyVersionExplains(minimum uint64, attempt *Attempt, missing bool) bool {
	for i := range a.Changes {
		change := &a.Changes[i]
		if !change.mayBeInForce() || change.SentAt > attempt.AnsweredAt || change.Configuration.Version < minimum {
			continue
		}
		if (change.Configuration.Route(attempt.Route) == nil) == missing {
			return true
		}
	}
	return minimum == 0 && missing
}

// checkAcknowledgements checks that at most one of several different changes with the same base version is
// acknowledged, and that a valid change is refused only if another change came before it.
func (a *audit) checkAcknowledgements() {
	acknowledged := make(map[uint64]*ConfigurationChange)
	for i := range a.Changes {
		change := &a.Changes[i]
		if !change.Acknowledged() {
			a.checkRefusal(change)
			continue
		}
		if other := acknowledged[change.Base]; other != nil && !other.Configuration.sameAs(&change.Configuration) {
			a.report(RuleConfiguration, change.AnsweredAt, "%s and %s both had a change with base version %d acknowledged",
				other.Operator, change.Operator, change.Base)
		}
		acknowledged[change.Base] = change
	}
}

// checkRefusal checks that another change may have taken effect first and made a refused change's base version
// outdated.
func (a *audit) checkRefusal(refused *ConfigurationChange) {
	if refused.Status == statusNoResponse {
		return
	}
	for i := range a.Changes {
		other := &a.Changes[i]
		precedes := other != refused && other.mayBeInForce() && other.SentAt <= refused.AnsweredAt
		if precedes && other.Configuration.Version > refused.Base {
			return
		}
	}
	a.report(RuleConfiguration, refused.AnsweredAt,
		"version %d of %s was refused with status %d, although no other change came before it",
		refused.Configuration.Version, refused.Operator, refused.Status)
}

// checkReadBack checks that every read returns the newest acknowledged configuration, or a newer one, as it was sent.
func (a *audit) checkReadBack() {
	if len(a.Reads) == 0 {
		a.report(RuleConfiguration, a.End, "no read of the configuration succeeded")
	}
	for i := range a.Reads {
		read := &a.Reads[i]
		newest := a.acknowledgedBy(read.At)
		if read.Configuration.Version < newest {
			a.report(RuleConfiguration, read.At, "version %d was read, although version %d was acknowledged before",
				read.Configuration.Version, newest)
		}
		if !a.wasSent(&read.Configuration) {
			a.report(RuleConfiguration, read.At,
				"the configuration that was read as version %d was not sent, or was refused: %s",
				read.Configuration.Version, read.Configuration.routesText())
		}
	}
}

// wasSent reports whether a configuration that was read was sent and not refused.
func (a *audit) wasSent(read *Configuration) bool {
	for i := range a.Changes {
		change := &a.Changes[i]
		if change.Configuration.sameAs(read) && change.mayBeInForce() {
			return true
		}
	}
	return false
}
