//go:build !race

package replication

import (
	"fmt"

	"gladepick/internal/modelcheck"
)

// The model is the group's protocol without time, disks and connections: what processes do upon calls, in any order.
// A call may be handled at any later moment or never, and its response may be lost. A response that is late adds nothing:
// its receiver's steps are all optional, so it may as well have come early. The rules of quorums and witnesses are the
// group's own code.
//
// Without leases the model allows more elections than the group does. With them (modelLimits.leases) a witness supports a
// primary that it has heard from, and may stop as soon as that primary does not count it any more: the primary counts
// from the sending of a heartbeat, the witness from its arrival, and monotonic clocks run at the same rate.

// modelStep is a state that may follow another one, and how.
type modelStep = modelcheck.Step[modelState]

// model is the protocol with its rules, within limits.
type model struct {
	rules  modelRules
	limits modelLimits
	named  bool // steps are given names
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

type addStep func(next modelState, format string, args ...any)

// ownSteps adds the steps of a process that no call causes.
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
