package dispatch

import (
	"log"

	"gladepick/internal/decision"
)

// handle gives the module one event and carries out the actions that follow, in their order.
func (c *Core) handle(ev *decision.Event) {
	for _, action := range c.module.Handle(c.now(), ev, nil) {
		c.carryOut(action)
	}
}

// carryOut carries out one action of the module.
func (c *Core) carryOut(a decision.Action) {
	switch a.Kind {
	case decision.Send:
		c.startAttempt(c.jobs[a.Job], a)
	case decision.Reject:
		c.answerFor(a.Job, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
	case decision.Fail:
		c.answerFor(a.Job, Answer{Kind: Failed})
	case decision.Cancel:
		c.cancelAttempt(c.jobs[a.Job], a.Attempt)
	case decision.SetTimer:
		token := a.Token
		c.setTimer(c.now()+a.Delay, func() { c.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
	case decision.Watch:
		c.watcher.Watch(a.On)
	case decision.Fetch: // a new watch brings the complete list where it is needed
		c.watcher.Watch(true)
	case decision.CloseIdle:
		if w := c.workers[a.Worker]; w != nil {
			c.transportTo(w).CloseIdle(w.Worker)
		}
	case decision.Log:
		log.Printf("module: %s", a.Data)
	default: // health checks and messages to peers are ruled out here, and the settings say so
		log.Printf("module asked for action %d, which this deployment does not allow", a.Kind)
	}
}

// answerFor gives a job the module's answer.
func (c *Core) answerFor(number decision.JobID, a Answer) {
	if j := c.jobs[number]; j != nil {
		c.reply(j, a)
		c.forget(j)
	}
}

// transportTo returns the transport that reaches a worker.
func (c *Core) transportTo(w *workerState) Transport {
	if w.Queue != "" && c.queueTransport != nil {
		return c.queueTransport
	}
	return c.transport
}
