package simcluster

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizeLimit bounds the search for an order of the operators' calls.
const linearizeLimit = 10 * time.Second

// configurationState is the configuration in force: its version and its text, which tells two of one version apart.
type configurationState struct {
	version uint64
	text    string
}

func stateOf(configuration *Configuration) configurationState {
	return configurationState{configuration.Version, configuration.routesText()}
}

// configurationCall is an order, or a reading where next is the zero value.
type configurationCall struct {
	base uint64
	next configurationState
}

// configurationOutcome is how a call ended.
type configurationOutcome struct {
	taken   bool // the order was acknowledged
	refused bool
	read    configurationState
}

// configurationRegister is the configuration as a register that is compared and swapped.
var configurationRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configurationState{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(configurationState), input.(configurationCall), output.(configurationOutcome))
	},
}

// stepRegister returns the states that a call with an outcome may lead to; none where it can't have that outcome. An
// order that has got no answer may be taken or not.
func stepRegister(state configurationState, call configurationCall, outcome configurationOutcome) []any {
	applies := state.version == call.base
	switch {
	case call.next == configurationState{}:
		if outcome.read == state {
			return []any{state}
		}
	case outcome.taken && (applies || state == call.next):
		return []any{call.next}
	case outcome.refused && !applies && state != call.next:
		return []any{state}
	case !outcome.taken && !outcome.refused && applies:
		return []any{state, call.next}
	case !outcome.taken && !outcome.refused:
		return []any{state}
	}
	return nil
}

// linearizable sees to it that all calls of the operators can be put into one order in which each takes effect between
// its beginning and its answer.
func (a *audit) linearizable() {
	var operations []porcupine.Operation
	for i := range a.Orders {
		order := &a.Orders[i]
		outcome := configurationOutcome{
			taken:   order.Acknowledged(),
			refused: !order.Acknowledged() && order.Status != statusNoAnswer,
		}
		answered := int64(order.AnsweredAt)
		if order.Status == statusNoAnswer {
			answered = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Call: int64(order.SentAt), Return: answered,
			Input: configurationCall{order.Base, stateOf(&order.Configuration)}, Output: outcome,
		})
	}
	for i := range a.Reads {
		read := &a.Reads[i]
		operations = append(operations, porcupine.Operation{
			ClientId: len(a.Orders) + i, Call: int64(read.From), Return: int64(read.At),
			Output: configurationOutcome{read: stateOf(&read.Configuration)}, Input: configurationCall{},
		})
	}
	result := porcupine.CheckOperationsTimeout(configurationRegister.ToModel(), operations, linearizeLimit)
	if result == porcupine.Illegal {
		a.report(RuleConfiguration, a.End, "the operators' calls have no order in which each sees those before it")
	}
}
