package simcluster

import (
	"net/http"
	"time"
)

// lateConfigurations sees to it that no message is handled as only an older configuration allows, some time after a
// newer one was acknowledged.
func (a *audit) lateConfigurations() {
	for i := range a.Arrivals {
		arrival := &a.Arrivals[i]
		try := a.tries[arrival.RequestID]
		if try == nil || !arrival.Result.Ran() || !a.calm(arrival.At) || !a.calm(try.SentAt) {
			continue
		}
		floor := a.acknowledgedBy(try.SentAt - configurationBound)
		if newest, known := a.newestAllowing(try.Route, arrival.Service, arrival.At); !known || newest < floor {
			a.report(RuleConfiguration, arrival.At, "%s (sent at %v) ran at %s as only version %d allows; %d was acknowledged",
				arrival.RequestID, try.SentAt, arrival.Service, newest, floor)
		}
	}
}

// acknowledgedBy returns the newest version that was acknowledged by some time.
func (a *audit) acknowledgedBy(at time.Duration) uint64 {
	newest := uint64(0)
	for i := range a.Orders {
		if order := &a.Orders[i]; order.Acknowledged() && order.AnsweredAt <= at {
			newest = max(newest, order.Configuration.Version)
		}
	}
	return newest
}

// newestAllowing returns the newest version, of those sent by some time and not refused, by which a route's messages
// go to a service.
func (a *audit) newestAllowing(route, service string, by time.Duration) (uint64, bool) {
	newest, known := uint64(0), false
	for i := range a.Orders {
		if order := &a.Orders[i]; order.allows(route, service, by) {
			newest, known = max(newest, order.Configuration.Version), true
		}
	}
	return newest, known
}

// oldestAllowing returns the oldest such version that is not below a floor.
func (a *audit) oldestAllowing(route, service string, by time.Duration, floor uint64) (uint64, bool) {
	oldest, known := uint64(0), false
	for i := range a.Orders {
		order := &a.Orders[i]
		version := order.Configuration.Version
		if order.allows(route, service, by) && version >= floor && (!known || version < oldest) {
			oldest, known = version, true
		}
	}
	return oldest, known
}

func (o *Order) allows(route, service string, by time.Duration) bool {
	if !o.mayBeInForce() || o.SentAt > by {
		return false
	}
	found := o.Configuration.Route(route)
	return found != nil && found.Service == service
}

// life names one process.
type life struct {
	machine string
	number  int
}

// sighting is a version that a process has shown to have.
type sighting struct {
	version uint64
	at      time.Duration
}

// regressions sees to it that no process goes back to an older configuration than it has shown.
func (a *audit) regressions() {
	shown := make(map[life][]sighting)
	for _, run := range a.sortedRuns() {
		try := a.tries[run.RequestID]
		if try == nil {
			continue
		}
		sender := life{run.Sender, run.Life}
		floor := newestBefore(shown[sender], try.SentAt-revertSlack)
		version, allowed := a.oldestAllowing(try.Route, run.Service, run.At, floor)
		if !allowed {
			a.report(RuleConfiguration, run.At, "%s goes back: %s (sent at %v) ran at %s, version %d was in force there before",
				run.Sender, run.RequestID, try.SentAt, run.Service, floor)
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

// missingRoutes sees to it that fronts answer 404, and accept messages, by no configuration that is too old.
func (a *audit) missingRoutes() {
	for i := range a.Tries {
		try := &a.Tries[i]
		missing := try.Status == http.StatusNotFound
		if !missing && !try.Accepted() || !a.calm(try.AnsweredAt) {
			continue
		}
		floor := a.acknowledgedBy(try.SentAt - configurationBound)
		if !a.someVersion(floor, try, missing) {
			a.report(RuleConfiguration, try.AnsweredAt, "%s on the route %s got %d at %s, which no version from %d on allows",
				try.RequestID, try.Route, try.Status, try.Front, floor)
		}
	}
}

// someVersion tells whether a version that may be in force lacks a try's route, or has it.
func (a *audit) someVersion(floor uint64, try *Try, missing bool) bool {
	for i := range a.Orders {
		order := &a.Orders[i]
		if !order.mayBeInForce() || order.SentAt > try.AnsweredAt || order.Configuration.Version < floor {
			continue
		}
		if (order.Configuration.Route(try.Route) == nil) == missing {
			return true
		}
	}
	return floor == 0 && missing
}

// acknowledgements sees to it that of several changes on top of one version only one is taken, and that no proper
// order is refused that nothing has come before.
func (a *audit) acknowledgements() {
	taken := make(map[uint64]*Order)
	for i := range a.Orders {
		order := &a.Orders[i]
		if !order.Acknowledged() {
			a.checkRefusal(order)
			continue
		}
		if other := taken[order.Base]; other != nil && !other.Configuration.sameAs(&order.Configuration) {
			a.report(RuleConfiguration, order.AnsweredAt, "%s and %s both had a change on top of version %d acknowledged",
				other.Operator, order.Operator, order.Base)
		}
		taken[order.Base] = order
	}
}

// checkRefusal sees to it that an order refused for its base had another one come before it.
func (a *audit) checkRefusal(refused *Order) {
	if refused.Status == statusNoAnswer {
		return
	}
	for i := range a.Orders {
		other := &a.Orders[i]
		rivals := other != refused && other.mayBeInForce() && other.SentAt <= refused.AnsweredAt
		if rivals && other.Configuration.Version > refused.Base {
			return
		}
	}
	a.report(RuleConfiguration, refused.AnsweredAt, "version %d of %s was refused with %d, although nothing had come before it",
		refused.Configuration.Version, refused.Operator, refused.Status)
}

// readBack sees to it that the newest acknowledged configuration, or a newer one, is read back as it was sent.
func (a *audit) readBack() {
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

func (a *audit) wasSent(read *Configuration) bool {
	for i := range a.Orders {
		order := &a.Orders[i]
		if order.Configuration.sameAs(read) && order.mayBeInForce() {
			return true
		}
	}
	return false
}
