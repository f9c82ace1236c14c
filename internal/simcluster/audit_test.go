package simcluster

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// validHistory returns a history that breaks no rule.
func validHistory() *History {
	route := func(name, service string) Route {
		return Route{Name: name, Service: service, MaxAttempts: 3, Timeout: second, Retention: 90 * second}
	}
	first := Configuration{Version: 1, Routes: []Route{route("orders", "orders"), route("moving", "moving-0")}}
	moved := Configuration{Version: 2, Routes: []Route{route("orders", "orders"), route("moving", "moving-1")}}
	history := &History{
		End: 60 * second,
		Changes: []ConfigurationChange{
			{Operator: "a", Base: 0, Configuration: first, SentAt: 0, AnsweredAt: second, Status: http.StatusOK},
			{Operator: "a", Base: 1, Configuration: moved, SentAt: 20 * second, AnsweredAt: 21 * second, Status: http.StatusOK},
			{Operator: "b", Base: 1, Configuration: first, SentAt: 20 * second, AnsweredAt: 21 * second, Status: http.StatusPreconditionFailed},
		},
		Reads:    []ConfigurationRead{{From: 57 * second, At: 58 * second, Configuration: moved}},
		Services: []Service{{Name: "orders", RatePerSecond: 1}},
	}
	history.send("1", "orders", 2*second)
	history.run("1", "orders", 3*second)
	history.send("2", "orders", 4*second)
	history.run("2", "orders", 5*second)
	history.send("3", "moving", 30*second)
	history.run("3", "moving-1", 31*second)
	history.send("4", "moving", 40*second)
	history.run("4", "moving-1", 41*second)
	return history
}

// send adds an attempt that was accepted, and the state of a completed message.
func (h *History) send(id, route string, at time.Duration) *Attempt {
	h.Attempts = append(h.Attempts, Attempt{
		RequestID: id, Front: "front-0", Route: route, Path: "/" + route + "/" + id, Body: "body " + id, OrderKey: "key",
		FirstSent: at, SentAt: at, AnsweredAt: at + 50*time.Millisecond, Status: http.StatusAccepted, MessageID: "m" + id,
	})
	h.StateResponses = append(h.StateResponses, StateResponse{
		RequestID: id, Status: http.StatusOK, State: stateCompleted, Stamp: "stamp " + id,
	})
	return &h.Attempts[len(h.Attempts)-1]
}

// run adds a delivery that succeeded.
func (h *History) run(id, service string, at time.Duration) *Arrival {
	route := ""
	for _, attempt := range h.Attempts {
		if attempt.RequestID == id {
			route = attempt.Route
		}
	}
	h.Arrivals = append(h.Arrivals, Arrival{
		RequestID: id, Method: http.MethodPost, Path: "/" + route + "/" + id, Body: "body " + id, Service: service,
		Worker: "i-1", Sender: "store-0", Incarnation: 1, Deadline: second, At: at, EndedAt: at + 100*time.Millisecond,
		Result: Succeeded, Status: http.StatusOK, Stamp: "stamp " + id,
	})
	return &h.Arrivals[len(h.Arrivals)-1]
}

func (h *History) responseTo(id string) *StateResponse {
	for i := range h.StateResponses {
		if h.StateResponses[i].RequestID == id {
			return &h.StateResponses[i]
		}
	}
	return nil
}

func TestAuditAcceptsValidHistory(t *testing.T) {
	assert.DeepEqual(t, Audit(validHistory()), []Violation(nil))
}

// violatingMutations are changes of a valid history, each of which breaks one rule.
var violatingMutations = []struct {
	name   string
	rule   Rule
	mutate func(h *History)
}{
	{"accepted but unknown", RuleLost, func(h *History) { h.responseTo("1").Status = http.StatusNotFound }},
	{"accepted but no state response", RuleLost, func(h *History) { h.StateResponses = h.StateResponses[1:] }},
	{"queued without its body", RuleLost, func(h *History) {
		*h.responseTo("4") = StateResponse{RequestID: "4", Status: statusOK, State: stateQueued, BodyStatus: http.StatusNotFound}
	}},
	{"queued with another body", RuleMixed, func(h *History) {
		*h.responseTo("4") = StateResponse{RequestID: "4", Status: statusOK, State: stateQueued, BodyStatus: statusOK, Body: "else"}
	}},
	{"completed with the stamp of another message", RuleMixed, func(h *History) { h.responseTo("1").Stamp = "stamp 2" }},
	{"completed without a run", RuleMixed, func(h *History) { h.Arrivals = h.Arrivals[1:] }},
	{"dead letter before all attempts failed", RuleMixed, func(h *History) {
		h.Arrivals[3].Result = Failed
		*h.responseTo("4") = StateResponse{RequestID: "4", Status: statusOK, State: stateDeadLetter, BodyStatus: statusOK, Body: "body 4"}
	}},
	{"dead letter after a success", RuleMixed, func(h *History) {
		*h.responseTo("4") = StateResponse{RequestID: "4", Status: statusOK, State: stateDeadLetter, BodyStatus: statusOK, Body: "body 4"}
	}},
	{"no state in the response", RuleMixed, func(h *History) { h.responseTo("1").State = "" }},
	{"overtaken", RuleOrder, func(h *History) { h.Arrivals[0].At, h.Arrivals[0].EndedAt = 6*second, 6*second+1 }},
	{"run before an earlier message ended", RuleOrder, func(h *History) { h.Arrivals[0].Result = Failed }},
	{"run while an earlier message is running", RuleOrder, func(h *History) { h.Arrivals[0].EndedAt = 5*second + 1 }},
	{"run twice", RuleDuplicate, func(h *History) { h.run("1", "orders", 8*second) }},
	{"run twice during a planned restart", RuleDuplicate, func(h *History) {
		h.run("1", "orders", 8*second)
		h.Faults = []Fault{{Machine: "store-0", Kind: faultTermination, Planned: true, From: 7 * second, Until: 9 * second}}
	}},
	{"run twice long after a fault", RuleDuplicate, func(h *History) {
		h.run("1", "orders", 12*second)
		h.Faults = []Fault{{Machine: "store-0", Kind: faultKill, From: 5 * second, Until: 6 * second}}
	}},
	{"rate limit exceeded", RuleRateLimit, func(h *History) {
		for i := range 11 {
			h.run("1", "orders", 10*second+time.Duration(i)*300*time.Millisecond).Result = NotRun
		}
	}},
	{"refused but run", RuleRefused, func(h *History) { h.Attempts[0].Status = http.StatusServiceUnavailable }},
	{"delivery to a draining worker", RuleDrain, func(h *History) {
		h.Departures = []Departure{{Worker: "i-1", ShownAt: 37 * second}}
	}},
	{"unsolicited", RuleUnsolicited, func(h *History) { h.run("5", "orders", 9*second) }},
	{"body changed on the way", RuleUnsolicited, func(h *History) { h.Arrivals[0].Body = "else" }},
	{"path changed on the way", RuleUnsolicited, func(h *History) { h.Arrivals[0].Path += "?" }},
	{"run before its delay", RuleEarly, func(h *History) { h.Attempts[0].Delay = 2 * second }},
	{"process exits unexpectedly", RuleUnexpectedExit, func(h *History) { h.UnexpectedExits = []UnexpectedExit{{Machine: "store-0", At: 9 * second}} }},
	{"old service after the acknowledgement", RuleConfiguration, func(h *History) { h.Arrivals[2].Service = "moving-0" }},
	{"back to the old service", RuleConfiguration, func(h *History) {
		h.Arrivals[3].Service = "moving-0"
		h.Faults = []Fault{{Machine: "store-1", Kind: faultKill, From: 38 * second, Until: 39 * second}}
	}},
	{"service that no version allows", RuleConfiguration, func(h *History) { h.Arrivals[0].Service = "moving-0" }},
	{"404 for a route that exists", RuleConfiguration, func(h *History) { h.Attempts[3].Status = http.StatusNotFound }},
	{"accepted on a route that does not exist", RuleConfiguration, func(h *History) {
		h.send("5", "gone", 50*second)
		h.run("5", "orders", 51*second)
	}},
	{"two changes with one base acknowledged", RuleConfiguration, func(h *History) { h.Changes[2].Status = http.StatusOK }},
	{"refused without a conflicting change", RuleConfiguration, func(h *History) { h.Changes = append(h.Changes[:1:1], h.Changes[2]) }},
	{"older configuration than acknowledged is read", RuleConfiguration, func(h *History) { h.Reads[0].Configuration = h.Changes[0].Configuration }},
	{"refused configuration is read", RuleConfiguration, func(h *History) {
		h.Changes[2].Configuration = h.Changes[1].Configuration.clone()
		h.Changes[2].Configuration.Routes[0].MaxAttempts++
		h.Reads[0].Configuration = h.Changes[2].Configuration
	}},
	{"no configuration is read", RuleConfiguration, func(h *History) { h.Reads = nil }},
}

func TestAuditDetectsEachViolation(t *testing.T) {
	for _, mutation := range violatingMutations {
		t.Run(mutation.name, func(t *testing.T) {
			history := validHistory()
			mutation.mutate(history)
			found := false
			for _, violation := range Audit(history) {
				found = found || violation.Rule == mutation.rule
			}
			assert.Assert(t, found, "%v", Audit(history))
		})
	}
}

// permittedAnomalies are changes of a valid history that look like violations but are allowed.
var permittedAnomalies = []struct {
	name   string
	mutate func(h *History)
}{
	{"run twice after a fault", func(h *History) {
		h.run("1", "orders", 8*second)
		h.Faults = []Fault{{Machine: "store-1", Kind: faultKill, From: 5 * second, Until: 6 * second}}
	}},
	{"run again after a success close to the deadline", func(h *History) {
		h.Arrivals[0].EndedAt = h.Arrivals[0].At + h.Arrivals[0].Deadline - responseMargin/2
		h.run("1", "orders", 8*second)
	}},
	{"run again after a success whose sender failed", func(h *History) {
		h.run("1", "orders", 20*second)
		h.Faults = []Fault{{Machine: "store-0", Kind: faultKill, From: 3*second + 110*time.Millisecond, Until: 4 * second}}
	}},
	{"run again after a success on a closed connection", func(h *History) {
		h.Arrivals[0].Unread = true
		h.run("1", "orders", 8*second)
	}},
	{"old service during a fault", func(h *History) {
		h.Arrivals[2].Service = "moving-0"
		h.Faults = []Fault{{Machine: "front-1", Kind: faultKill, From: 29 * second, Until: 32 * second}}
	}},
	{"old service from another process", func(h *History) {
		h.Arrivals[2].At, h.Attempts[2].SentAt = 22*second, 21*second
		h.Attempts[3].SentAt, h.Arrivals[3].At = 23*second, 23*second
		h.Arrivals[3].Service, h.Arrivals[3].Incarnation = "moving-0", 2
	}},
	{"dead letter after all attempts failed", func(h *History) {
		h.Arrivals[3].Result = Failed
		for i := range 2 {
			h.run("4", "moving-1", 42*second+time.Duration(i)*second).Result = Failed
		}
		*h.responseTo("4") = StateResponse{RequestID: "4", Status: statusOK, State: stateDeadLetter, BodyStatus: statusOK, Body: "body 4"}
	}},
	{"delivery to a worker that has just begun to drain", func(h *History) {
		h.Departures = []Departure{{Worker: "i-1", ShownAt: 39 * second}}
	}},
}

func TestAuditAcceptsPermittedAnomalies(t *testing.T) {
	for _, anomaly := range permittedAnomalies {
		t.Run(anomaly.name, func(t *testing.T) {
			history := validHistory()
			anomaly.mutate(history)
			assert.DeepEqual(t, Audit(history), []Violation(nil))
		})
	}
}

// Calls may have no valid order even if they break no other rule.
func TestAuditRejectsNonLinearizableConfigurationCalls(t *testing.T) {
	one := Configuration{Version: 1, Routes: []Route{{Name: "r", Service: "one"}}}
	two := Configuration{Version: 2, Routes: []Route{{Name: "r", Service: "two"}}}
	other := Configuration{Version: 2, Routes: []Route{{Name: "r", Service: "other"}}}
	change := func(base uint64, next Configuration, from, until time.Duration, status int) ConfigurationChange {
		return ConfigurationChange{Base: base, Configuration: next, SentAt: from * second, AnsweredAt: until * second, Status: status}
	}
	read := func(seen Configuration, from, until time.Duration) ConfigurationRead {
		return ConfigurationRead{Configuration: seen, From: from * second, At: until * second}
	}
	first := change(0, one, 0, 1, http.StatusOK)
	cases := map[string]struct {
		changes      []ConfigurationChange
		reads        []ConfigurationRead
		linearizable bool
	}{
		"one writer wins":          {[]ConfigurationChange{first, change(1, two, 2, 4, http.StatusOK), change(1, other, 2, 4, http.StatusPreconditionFailed)}, []ConfigurationRead{read(two, 5, 6)}, true},
		"both writers win":         {[]ConfigurationChange{first, change(1, two, 2, 4, http.StatusOK), change(1, other, 2, 4, http.StatusOK)}, nil, false},
		"no writer wins":           {[]ConfigurationChange{first, change(1, two, 2, 4, http.StatusPreconditionFailed), change(1, other, 2, 4, http.StatusPreconditionFailed)}, nil, false},
		"no response, applied":     {[]ConfigurationChange{first, change(1, two, 2, 4, statusNoResponse)}, []ConfigurationRead{read(one, 5, 6), read(two, 7, 8)}, true},
		"no response, not applied": {[]ConfigurationChange{first, change(1, two, 2, 4, statusNoResponse), change(1, other, 5, 6, http.StatusOK)}, nil, true},
		"a read returns an older version": {
			[]ConfigurationChange{first, change(1, two, 2, 4, statusNoResponse)}, []ConfigurationRead{read(two, 5, 6), read(one, 7, 8)}, false,
		},
		"a read returns a refused change": {
			[]ConfigurationChange{first, change(1, two, 2, 4, http.StatusOK), change(1, other, 2, 4, http.StatusPreconditionFailed)},
			[]ConfigurationRead{read(other, 5, 6)}, false,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAudit(&History{Changes: test.changes, Reads: test.reads, End: 10 * second})
			a.checkLinearizable()
			assert.Equal(t, len(a.violations) == 0, test.linearizable)
		})
	}
}
