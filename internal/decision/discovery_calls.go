package decision

import (
	"math/rand/v2"
	"time"
)

// minDiscoverySilence is the least limit on silence that calls to discovery keep: without a stated one they
// would come at once.
const minDiscoverySilence = time.Second

// A call comes at a random moment within the first third of the allowed silence, but not in the first
// tenth of that third: dispatchers that start together must not call together, and a call that fails
// leaves time for more.
const (
	callsPerSilence = 3
	earliestCall    = 0.1
	callSpread      = 0.9
)

// failedSilenceFactor is how many times the stated silence is allowed after a call that has failed.
const failedSilenceFactor = 2

// discoveryCalls decides when the list of workers is asked for. While a watch holds, nothing is asked.
type discoveryCalls struct {
	polls      bool          // lists come only after Watch
	maxSilence time.Duration // without a watch
	random     *rand.Rand

	watching bool
	token    uint32 // of the timer for the next call; only the last one set counts
}

func newDiscoveryCalls(settings *Settings, random *rand.Rand) *discoveryCalls {
	return &discoveryCalls{
		polls:      settings.Discovery == DiscoveryPoll,
		maxSilence: settings.MaxDiscoverySilence,
		random:     random,
		token:      drainCloseToken, // tokens count on from there
	}
}

// listReceived takes what a call brought. After a failed call, or a list that may be outdated, another one
// is due. A failed call allows a longer silence.
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

// isTimer tells whether a token is that of the next call's timer, and the call is still due.
func (c *discoveryCalls) isTimer(token uint32) bool { return token == c.token && !c.watching }

// call asks for a watch, and sets another call in case no answer ever comes.
func (c *discoveryCalls) call(actions []Action) []Action {
	actions = append(actions, Action{Kind: Watch, On: true})
	return c.schedule(c.maxSilence, actions)
}

// schedule sets the timer for the next call.
func (c *discoveryCalls) schedule(silence time.Duration, actions []Action) []Action {
	c.token++
	silenceSeconds := max(silence, minDiscoverySilence).Seconds()
	delay := seconds((earliestCall + callSpread*c.random.Float64()) * silenceSeconds / callsPerSilence)
	return append(actions, Action{Kind: SetTimer, Token: c.token, Delay: delay})
}
