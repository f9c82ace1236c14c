package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the scenario "repeat".
const (
	repeatMessages = 240
	repeatWork     = 400 * time.Millisecond
	repeatTimeout  = 1500 * time.Millisecond
	contact        = 4 * time.Second // contact-ms of the settings
	restartDelay   = 300 * time.Millisecond
	answerMargin   = 50 * time.Millisecond
	watchAfter     = 28 * time.Second
)

// playRepeat sends messages, waits until all of them have completed and nothing is left to do, and then kills one store
// process, which is started again at once. It reports whether a message ran again after its success, more than
// contact-ms after the restart.
func playRepeat(c *cluster, trouble bool) (bool, error) {
	log, err := startWorkers(c, "dossier-intake", 2, 4, repeatWork)
	if err != nil {
		return false, err
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{
		Name: "r-dossier", Host: host, PathPrefix: "/vobo680/", RouteType: "async", TimeoutMS: int(repeatTimeout.Milliseconds()),
		TargetLatencyMS: 80, Priority: 2, Service: "dossier-intake", MaxAttempts: 3, RetentionS: 90, TargetStartMS: 500,
	}}
	services := []service{{Name: "dossier-intake", HealthCheck: "/health", MaxConnections: 110, Protocol: "h1"}}
	if err := c.configure(routes, services); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the list of workers is read

	sent := c.sendMany(c.fronts[:1], repeatMessages, 8, func(i int) message {
		return message{path: fmt.Sprintf("/vobo680/%d", i), body: fmt.Appendf(nil, "dossier %d", i)}
	})
	c.record.note("%d of %d messages were accepted by %s", len(sent), repeatMessages, c.fronts[0].name)
	if len(sent) < repeatMessages*9/10 {
		return false, fmt.Errorf("too few messages were accepted")
	}
	completed := map[string]string{}
	await(30*time.Second, func() bool {
		for _, each := range sent {
			if completed[each.messageID] == "" {
				if answer := c.state(c.fronts[1], each.messageID); answer.State == "completed" {
					completed[each.messageID] = answer.Stamp
				}
			}
		}
		return len(completed) == len(sent)
	})
	c.record.note("%d messages are reported as completed", len(completed))
	if len(completed) < len(sent) {
		return false, fmt.Errorf("not all messages completed before the disruption")
	}
	time.Sleep(contact + time.Second) // a quiet time, without any disruption
	runsBefore := log.count()
	store := c.stores[0]
	if trouble {
		store.kill()
		c.record.note("%s is killed", store.name)
		time.Sleep(restartDelay)
		if err := store.start(); err != nil {
			return false, err
		}
		c.record.note("%s is started again, with its disk", store.name)
	}
	restarted := time.Now()
	time.Sleep(watchAfter)
	c.record.note("%d runs before, %d runs after", runsBefore, log.count()-runsBefore)
	return c.judgeRepeats(log, sent, completed, restarted), nil
}

// judgeRepeats counts the messages that ran again after a success that the sender had read.
func (c *cluster) judgeRepeats(log *runLog, sent []*accepted, completed map[string]string, restarted time.Time) bool {
	repeats, excused, late := 0, 0, 0
	for _, each := range sent {
		runs := log.of(each.requestID)
		for i, first := range runs {
			success := !first.answered.IsZero() && first.stamp == completed[each.messageID]
			if !success || first.answered.Sub(first.began)+answerMargin > first.limit {
				continue
			}
			for _, again := range runs[i+1:] {
				switch {
				case !again.began.After(first.answered):
				case again.began.Sub(restarted) <= contact:
					excused++
				default:
					repeats++
					if again.began.Sub(restarted) > 2*contact {
						late++
					}
					c.record.line("TWICE   %s was completed with stamp %s and ran again %.1f s after the restart",
						each.requestID, first.stamp, again.began.Sub(restarted).Seconds())
				}
			}
		}
	}
	c.record.note("ran again after a success: %d within contact-ms after the restart (excused), %d later, %d of these later than twice contact-ms",
		excused, repeats, late)
	return repeats > 0
}

// startWorkers starts workers of a service, and the platform's list with them.
func startWorkers(c *cluster, service string, capacity, count int, work time.Duration) (*runLog, error) {
	log := &runLog{}
	list := &platform{}
	for i := range count {
		id := fmt.Sprintf("i-%s-%d", service, i)
		w, err := newWorker(c.address("3", i+1), id, service, zones[i%len(zones)], capacity, work, log, c.record)
		if err != nil {
			return nil, err
		}
		list.add(w)
	}
	address, err := list.listen(c.address("9", 1))
	c.platform = address
	return log, err
}

// sendMany sends messages, several at a time, and returns those that were accepted.
func (c *cluster) sendMany(fronts []*machine, count, parallel int, newMessage func(i int) message) []*accepted {
	var mutex sync.Mutex
	var wait sync.WaitGroup
	var sent []*accepted
	numbers := numbersBelow(count)
	for range parallel {
		wait.Go(func() {
			for i := range numbers {
				taken, err := c.send(rotate(fronts, i), newMessage(i))
				if err != nil {
					continue
				}
				mutex.Lock()
				sent = append(sent, taken)
				mutex.Unlock()
			}
		})
	}
	wait.Wait()
	return sent
}

// numbersBelow returns a closed channel that holds the numbers below count.
func numbersBelow(count int) <-chan int {
	numbers := make(chan int, count)
	for i := range count {
		numbers <- i
	}
	close(numbers)
	return numbers
}

func rotate(fronts []*machine, by int) []*machine {
	by %= len(fronts)
	return append(append([]*machine{}, fronts[by:]...), fronts[:by]...)
}
