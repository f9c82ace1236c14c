package dispatch

import "time"

// WorkerStart returns the start time of a worker that the module was given. It takes no lock: a test may call it only
// while the core's goroutine is blocked.
func (c *Core) WorkerStart(name string) time.Duration { return c.workers[c.workerByName[name]].started }

// Now returns the current time on the module's clock.
func (c *Core) Now() time.Duration { return c.now() }
