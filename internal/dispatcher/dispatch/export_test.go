package dispatch

import "time"

// WorkerStart returns when a worker started, as the module was told, for tests in a bubble that stands still.
func (c *Core) WorkerStart(name string) time.Duration { return c.workers[c.workerByName[name]].started }

// Now returns the time of the module's clock.
func (c *Core) Now() time.Duration { return c.now() }
