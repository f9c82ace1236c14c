package simcluster

import "time"

const settlePoll = 500 * time.Millisecond

// settle gives the system the time that it has after the load, or less where nothing is left to do.
func (c *Cluster) settle() {
	deadline := time.Now().Add(finish)
	for time.Now().Before(deadline) && c.unfinished() > 0 {
		time.Sleep(settlePoll)
	}
}

// unfinished counts the accepted messages that have not ended.
func (c *Cluster) unfinished() int {
	count := 0
	c.recorder.write(func(history *History) {
		a := newAudit(history)
		for i := range history.Tries {
			try := &history.Tries[i]
			if _, ended := a.endingOf(try); try.Accepted() && !ended {
				count++
			}
		}
	})
	return count
}
