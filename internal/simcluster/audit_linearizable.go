package simcluster

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizationTimeout limits the search for a linearization of the operators' calls.
const linearizationTimeout = 10 * time.Second

// configurationState is the configuration in force. The text distinguishes two configurations with the same version.
type configurationState struct {
	version uint64
	text    string
}

func stateOf(configuration *Configuration) configurationState {
	return configurationState{configuration.Version, configuration.routesText()}
}

// configurationCall is a change of the configuration, or a read if next is the zero value.
type configurationCall struct {
	base uint64
	next configurationState
}

// configurationOutcome is the result of a call.
type configurationOutcome struct {
	acknowledged bool
	refused      bool
	read         configurationState
}

// configurationRegister models the configuration as a compare-and-swap register.
var configurationRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configurationState{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(configurationState), input.(configurationCall), output.(configurationOutcome))
	},
}

// stepRegister returns the states that a call with an outcome may lead to, or none if the call can't have that outcome.
// A change without a conclusive response may or may not have taken effect.
func stepRegister(state configurationState, call configurationCall, outcome configurationOutcome) []any {
	applies := state.version == call.base
	switch {
	case call.next == configurationState{}:
		if outcome.read == state {
			return []any{state}
		}
	case outcome.acknowledged && (applies || state == call.next):
		return []any{call.next}
	case outcome.refused && !applies && state != call.next:
		return []any{state}
	case !outcome.acknowledged && !outcome.refused && applies:
		return []any{state, call.next}
	case !outcome.acknowledged && !outcome.refused:
		return []any{state}
	}
	return nil
}

// checkLinearizable checks that the calls of all operators are linearizable: that there is an order of the calls in
// which each takes effect between its start and its response.
func (a *audit) checkLinearizable() {
	var operations []porcupine.Operation
	for i := range a.Changes {
		change := &a.Changes[i]
		outcome := configurationOutcome{
			acknowledged: change.Acknowledged(),
			refused:      !change.Acknowledged() && change.Status != statusNoResponse,
		}
		answered := int64(change.AnsweredAt)
		if change.Status == statusNoResponse {
			answered = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Call: int64(change.SentAt), Return: answered,
			Input: configurationCall{change.Base, stateOf(&change.Configuration)}, Output: outcome,
		})
	}
	for i := range a.Reads {
		read := &a.Reads[i]
		operations = append(operations, porcupine.Operation{
			ClientId: len(a.Changes) + i, Call: int64(read.From), Return: int64(read.At),
			Output: configurationOutcome{read: stateOf(&read.Configuration)}, Input: configurationCall{},
		})
	}
	result := porcupine.CheckOperationsTimeout(configurationRegister.ToModel(), operations, linearizationTimeout)
	switch result {
	case porcupine.Illegal:
		a.report(RuleConfiguration, a.End, "the operators' calls are not linearizable")
	case porcupine.Unknown:
		a.report(RuleConfiguration, a.End, "no order of the operators' calls was found within %v", linearizationTimeout)
	}
}
