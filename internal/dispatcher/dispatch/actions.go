package dispatch

import (
	"log"

	"gladepick/internal/decision"
)

// handle passes one event to the module and executes the resulting actions in order.
func (c *Core) handle(ev *decision.Event) {
	for _, action := range c.module.Handle(c.now(), ev, nil) {
		c.execute(action)
	}
}

// execute performs one action of the module.
func (c *Core) execute(a decision.Action) {
	switch a.Kind {
	case decision.Send:
		c.startAttempt(c.jobs[a.Job], a)
	case decision.Reject:
		c.answerByNumber(a.Job, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
	case decision.Fail:
		c.answerByNumber(a.Job, Answer{Kind: Failed})
	case decision.Cancel:
		c.cancelAttempt(c.jobs[a.Job], a.Attempt)
	case decision.SetTimer:
		token := a.Token
		c.setTimer(c.now()+a.Delay, func() { c.handle(&decision.Event{Kind: decision.EventTimer, Token: token}) })
	case decision.Watch:
		c.watcher.Watch(a.On)
	case decision.Fetch: // a new watch delivers the complete list if needed
		c.watcher.Watch(true)
	case decision.CloseIdle:
		if w := c.workers[a.Worker]; w != nil {
			c.transportTo(w).CloseIdle(w.Worker)
		}
	case decision.Log:
		log.Printf("module: %s", a.Data)
	default: // the settings disable health checks and messages to peers
		log.Printf("module requested unsupported action %d", a.Kind)
	}
}

// answerByNumber answers an open job as the module decided.
func (c *Core) answerByNumber(number decision.JobID, a Answer) {
	if j := c.jobs[number]; j != nil {
		c.reply(j, a)
		c.removeFinished(j)
	}
}

// transportTo returns the transport for a worker: queueTransport if the worker takes its jobs from a queue.
func (c *Core) transportTo(w *workerState) Transport {
	if w.Queue != "" && c.queueTransport != nil {
		return c.queueTransport
	}
	return c.transport
}
