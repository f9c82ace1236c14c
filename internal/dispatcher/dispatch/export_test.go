package dispatch

import "time"

// Started is when the module was told that a worker started, for tests in a bubble that stands still.
func (c *Core) Started(name string) time.Duration { return c.seats[c.byName[name]].started }

// Now is the module's clock.
func (c *Core) Now() time.Duration { return c.now() }
