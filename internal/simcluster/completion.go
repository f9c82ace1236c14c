package simcluster

import "time"

const completionPollInterval = 500 * time.Millisecond

// awaitCompletion waits until all accepted messages have ended, for at most finishTimeout.
func (c *Cluster) awaitCompletion() {
	deadline := time.Now().Add(finishTimeout)
	for time.Now().Before(deadline) && c.unfinished() > 0 {
		time.Sleep(completionPollInterval)
	}
}

// unfinished returns the number of accepted messages that have not ended.
func (c *Cluster) unfinished() int {
	count := 0
	c.recorder.write(func(history *History) {
		a := newAudit(history)
		for i := range history.Attempts {
			attempt := &history.Attempts[i]
			if _, ended := a.endingOf(attempt); attempt.Accepted() && !ended {
				count++
			}
		}
	})
	return count
}
