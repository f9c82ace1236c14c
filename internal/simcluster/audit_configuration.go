package simcluster

import (
	"net/http"
	"time"
)

// checkStaleConfigurations checks that no message is handled as only an outdated configuration allows, once
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
			a.report(RuleConfiguration, arrival.At, "%s (sent at %v) ran at %s as only version %d allows; %d was acknowledged",
				arrival.RequestID, attempt.SentAt, arrival.Service, newest, minimum)
		}
	}
}

// acknowledgedBy returns the newest version that was acknowledged by some time.
func (a *audit) acknowledgedBy(at time.Duration) uint64 {
	newest := uint64(0)
	for i := range a.Changes {
		if change := &a.Changes[i]; change.Acknowledged() && change.AnsweredAt <= at {
			newest = max(newest, change.Configuration.Version)
		}
	}
	return newest
}

// newestAllowing returns the newest version, of those sent by some time and not refused, by which a route's messages
// go to a service.
func (a *audit) newestAllowing(route, service string, by time.Duration) (uint64, bool) {
	newest, known := uint64(0), false
	for i := range a.Changes {
		if change := &a.Changes[i]; change.allows(route, service, by) {
			newest, known = max(newest, change.Configuration.Version), true
		}
	}
	return newest, known
}

// oldestAllowing returns the oldest such version that is not below a minimum.
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

// processID identifies one process: a machine runs one process after another.
type processID struct {
	machine     string
	incarnation int
}

// sighting is a version that a process has shown to have in force.
type sighting struct {
	version uint64
	at      time.Duration
}

// checkRegressions checks that no process goes back to an older configuration than it has shown.
func (a *audit) checkRegressions() {
	shown := make(map[processID][]sighting)
	for _, run := range a.sortedRuns() {
		attempt := a.attempts[run.RequestID]
		if attempt == nil {
			continue
		}
		sender := processID{run.Sender, run.Incarnation}
		minimum := newestBefore(shown[sender], attempt.SentAt-revertSlack)
		version, allowed := a.oldestAllowing(attempt.Route, run.Service, run.At, minimum)
		if !allowed {
			a.report(RuleConfiguration, run.At, "%s goes back: %s (sent at %v) ran at %s, version %d was in force there before",
				run.Sender, run.RequestID, attempt.SentAt, run.Service, minimum)
			continue
		}
		if newestBefore(shown[sender], run.At) < version {
			shown[sender] = append(shown[sender], sighting{version, run.At})
		}
	}
}

// newestBefore returns the newest version that was shown before some time.
func newestBefore(shown []sighting, before time.Duration) uint64 {
	newest := uint64(0)
	for _, seen := range shown {
		if seen.at < before {
			newest = max(newest, seen.version)
		}
	}
	return newest
}

// checkRoutes checks that fronts neither answer 404 nor accept messages by an outdated configuration.
func (a *audit) checkRoutes() {
	for i := range a.Attempts {
		attempt := &a.Attempts[i]
		missing := attempt.Status == http.StatusNotFound
		if !missing && !attempt.Accepted() || !a.faultFree(attempt.AnsweredAt) {
			continue
		}
		minimum := a.acknowledgedBy(attempt.SentAt - configurationBound)
		if !a.anyVersionExplains(minimum, attempt, missing) {
			a.report(RuleConfiguration, attempt.AnsweredAt, "%s on the route %s got %d at %s, which no version from %d on allows",
				attempt.RequestID, attempt.Route, attempt.Status, attempt.Front, minimum)
		}
	}
}

// anyVersionExplains tells whether a version that may be in force lacks the route of an attempt (missing), or has
// it.
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

// checkAcknowledgements checks that of several changes on top of one version only one is acknowledged, and that no
// valid change is refused that no other has preceded.
func (a *audit) checkAcknowledgements() {
	taken := make(map[uint64]*ConfigurationChange)
	for i := range a.Changes {
		change := &a.Changes[i]
		if !change.Acknowledged() {
			a.checkRefusal(change)
			continue
		}
		if other := taken[change.Base]; other != nil && !other.Configuration.sameAs(&change.Configuration) {
			a.report(RuleConfiguration, change.AnsweredAt, "%s and %s both had a change on top of version %d acknowledged",
				other.Operator, change.Operator, change.Base)
		}
		taken[change.Base] = change
	}
}

// checkRefusal checks that another change had preceded one that was refused for its base version.
func (a *audit) checkRefusal(refused *ConfigurationChange) {
	if refused.Status == statusNoResponse {
		return
	}
	for i := range a.Changes {
		other := &a.Changes[i]
		rivals := other != refused && other.mayBeInForce() && other.SentAt <= refused.AnsweredAt
		if rivals && other.Configuration.Version > refused.Base {
			return
		}
	}
	a.report(RuleConfiguration, refused.AnsweredAt, "version %d of %s was refused with %d, although nothing had come before it",
		refused.Configuration.Version, refused.Operator, refused.Status)
}

// checkReadBack checks that the newest acknowledged configuration, or a newer one, is read back as it was sent.
func (a *audit) checkReadBack() {
	if len(a.Reads) == 0 {
		a.report(RuleConfiguration, a.End, "the configuration can't be read back")
	}
	for i := range a.Reads {
		read := &a.Reads[i]
		newest := a.acknowledgedBy(read.At)
		if read.Configuration.Version < newest {
			a.report(RuleConfiguration, read.At, "version %d is read back, %d was acknowledged", read.Configuration.Version, newest)
		}
		if !a.wasSent(&read.Configuration) {
			a.report(RuleConfiguration, read.At, "what is read back as version %d was not sent, or was refused: %s",
				read.Configuration.Version, read.Configuration.routesText())
		}
	}
}

// wasSent tells whether a configuration that was read back was sent and not refused.
func (a *audit) wasSent(read *Configuration) bool {
	for i := range a.Changes {
		change := &a.Changes[i]
		if change.Configuration.sameAs(read) && change.mayBeInForce() {
			return true
		}
	}
	return false
}
