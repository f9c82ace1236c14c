//go:build !race

package replication

import (
	"fmt"

	"gladepick/internal/modelcheck"
)

// The model is the group's protocol without time, disks and connections: processes send calls and handle them in any
// order. A call may be handled at any later time or never, and its response may be lost. The model needs no late
// responses: all steps of the receiver of a response are optional, so a late response has the same effect as an early
// one whose receiver takes its next step later. The rules of quorums and witnesses are the group's own code.
//
// Without leases, the model allows more elections than the group does. With leases (modelLimits.leases), a witness
// supports a primary that it has heard from, and may stop as soon as that primary no longer counts its support: the
// primary counts the lease from the sending of a heartbeat, the witness counts it from the arrival, and monotonic
// clocks run at the same rate.

// modelStep is a successor of a state, with the name of the step that leads to it.
type modelStep = modelcheck.Step[modelState]

// model is the protocol with its rules, explored within limits.
type model struct {
	rules  modelRules
	limits modelLimits
	named  bool // whether steps get names
}

// Start implements modelcheck.Model.
func (m *model) Start() modelState { return bootstrapped(m.limits) }

// Next implements modelcheck.Model.
func (m *model) Next(state *modelState, named bool) []modelStep {
	m.named = named
	var steps []modelStep
	add := func(next modelState, format string, args ...any) {
		if next == *state {
			return
		}
		step := modelStep{State: next}
		if m.named {
			step.Name = fmt.Sprintf(format, args...)
		}
		steps = append(steps, step)
	}
	for disk := range modelDisks {
		if state.disks[disk].lost || state.disks[disk].promised == 0 && !state.isSpare(disk) {
			continue
		}
		m.ownSteps(state, disk, add)
		m.faults(state, disk, add)
		for other := range modelDisks {
			if other != disk {
				m.calls(state, other, disk, add)
			}
		}
	}
	return steps
}

// addStep adds a step to a state, with the step's name as a format and its arguments.
type addStep func(next modelState, format string, args ...any)

// ownSteps adds the steps that a process takes without receiving a call.
func (m *model) ownSteps(state *modelState, disk int, add addStep) {
	d := &state.disks[disk]
	m.campaign(state, disk, add)
	switch d.phase {
	case collecting:
		m.beginAligning(state, disk, add)
	case aligning:
		m.beginAccepting(state, disk, add)
	case accepting:
		m.enterView(state, disk, add)
	case primary:
		m.propose(state, disk, add)
		m.serveRead(state, disk, add)
	}
	if m.limits.leases {
		m.expireLeases(state, disk, add)
	}
}
