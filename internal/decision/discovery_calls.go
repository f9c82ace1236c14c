package decision

import (
	"math/rand/v2"
	"time"
)

// minDiscoverySilence is the lower bound of the longest silence between calls to discovery. Without it, calls
// would follow one another at once if the settings state no limit.
const minDiscoverySilence = time.Second

// A call is made at a random moment within the first third of the allowed silence, excluding the first tenth
// of that third. The random delay keeps dispatchers that start together from calling together, and the
// remaining two thirds leave time for a repeat if the call fails.
const (
	callsPerSilence = 3
	earliestCall    = 0.1
	callSpread      = 0.9
)

// failedSilenceFactor is the multiple of the stated silence that is allowed after a failed call.
const failedSilenceFactor = 2

// discoveryCalls schedules the requests for the list of workers. It schedules none while a watch is active.
type discoveryCalls struct {
	polls      bool          // lists arrive only after a Watch action
	maxSilence time.Duration // longest silence without a watch
	random     *rand.Rand

	watching bool
	token    uint32 // of the timer for the next call; tokens of earlier timers are ignored
}

func newDiscoveryCalls(settings *Settings, random *rand.Rand) *discoveryCalls {
	return &discoveryCalls{
		polls:      settings.Discovery == DiscoveryPoll,
		maxSilence: settings.MaxDiscoverySilence,
		random:     random,
		token:      drainCloseToken, // the next tokens count up from here
	}
}

// listReceived handles the result of a call. It schedules another call after a failed one or a list that may
// be outdated. A failed call allows a longer silence.
func (c *discoveryCalls) listReceived(kind ListKind, actions []Action) []Action {
	failed := kind == ListFailed
	c.watching = c.polls && !failed && kind != ListCached
	if !c.polls || c.watching {
		return actions
	}
	silence := c.maxSilence
	if failed {
		silence *= failedSilenceFactor
	}
	return c.schedule(silence, actions)
}

// isTimer reports whether a token is that of the next call's timer and the call is still due.
func (c *discoveryCalls) isTimer(token uint32) bool { return token == c.token && !c.watching }

// call requests a watch and schedules another call in case no answer arrives.
func (c *discoveryCalls) call(actions []Action) []Action {
	actions = append(actions, Action{Kind: Watch, On: true})
	return c.schedule(c.maxSilence, actions)
}

// schedule sets the timer for the next call within the given silence.
func (c *discoveryCalls) schedule(silence time.Duration, actions []Action) []Action {
	c.token++
	silenceSeconds := max(silence, minDiscoverySilence).Seconds()
	delay := seconds((earliestCall + callSpread*c.random.Float64()) * silenceSeconds / callsPerSilence)
	return append(actions, Action{Kind: SetTimer, Token: c.token, Delay: delay})
}
