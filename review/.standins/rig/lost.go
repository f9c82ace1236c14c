package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the scenario "lost".
const (
	lostMessages = 1000
	lostBytes    = 200 << 10
	lostDelay    = 80 * time.Second
	copyLimit    = 5 * time.Second // until the copies of the second store's partitions begin
	darkFor      = 2800 * time.Millisecond
	askRounds    = 3
	askParallel  = 40
	recovery     = 12 * time.Second // recovery-s of the settings
)

// playLost stores messages that are not due yet. Then one store loses power for some seconds, and while the system still
// copies what it held, another store loses its disk. It reports whether a message that was accepted is gone after all
// machines are back.
func playLost(c *cluster, trouble bool) (bool, error) {
	if _, err := startWorkers(c, "dossier-intake", 6, 4, 300*time.Millisecond); err != nil {
		return false, err
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{
		Name: "r-dossier", Host: host, PathPrefix: "/vobo680/", RouteType: "async", TimeoutMS: 1500,
		TargetLatencyMS: 80, Priority: 2, Service: "dossier-intake", MaxAttempts: 3, RetentionS: 120, TargetStartMS: 500,
	}}
	services := []service{{Name: "dossier-intake", HealthCheck: "/health", MaxConnections: 110, Protocol: "h1"}}
	if err := c.configure(routes, services); err != nil {
		return false, err
	}
	sent := c.sendMany(c.fronts, lostMessages, 12, func(i int) message {
		return message{path: fmt.Sprintf("/vobo680/%d", i), delay: lostDelay, body: bytes.Repeat(fmt.Appendf(nil, "%015d,", i), lostBytes/16)}
	})
	c.record.note("%d of %d messages were accepted", len(sent), lostMessages)
	if len(sent) < lostMessages*9/10 {
		return false, fmt.Errorf("too few messages were accepted")
	}
	time.Sleep(5 * time.Second)
	c.logPartitions("before")
	if trouble {
		if err := c.loseTwo(); err != nil {
			return false, err
		}
	}
	time.Sleep(recovery + 3*time.Second)
	c.logPartitions("after")
	return c.judgeLost(sent), nil
}

// loseTwo ends one store, whose disk stays, and soon after it another one, whose disk is lost. Both come back.
func (c *cluster) loseTwo() error {
	first, second := c.stores[0], c.stores[1]
	first.kill()
	began := time.Now()
	c.record.note("%s is dark, its disk stays", first.name)
	copies := 0
	if !await(copyLimit, func() bool { copies = c.copiesFrom(second); return copies > 0 }) {
		return fmt.Errorf("no partition of %s is being copied", second.name)
	}
	second.kill()
	c.record.note("%d partitions of %s were being copied", copies, second.name)
	if err := second.loseDisk(); err != nil {
		return err
	}
	c.record.note("%s loses its disk", second.name)
	time.Sleep(time.Second)
	if err := second.start(); err != nil {
		return err
	}
	c.record.note("%s is back, with an empty disk", second.name)
	time.Sleep(time.Until(began.Add(darkFor)))
	if err := first.start(); err != nil {
		return err
	}
	c.record.note("%s is back, with its disk", first.name)
	return nil
}

// copiesFrom returns how many partitions a store leads whose other replica is not complete yet.
func (c *cluster) copiesFrom(store *machine) int {
	count := 0
	for line := range strings.Lines(c.partitions()) {
		fields := strings.Fields(line)
		if len(fields) == 6 && fields[2] == store.name && fields[3] == "-" && fields[4] != "-" {
			count++
		}
	}
	return count
}

// partitions returns the operators' view of the partitions: ID, EPOCH, PRIMARY, SYNCED, COPYING, WANTED.
func (c *cluster) partitions() string {
	return c.command("partitions", "-a", c.fronts[2].at(c.ports.Control))
}

// logPartitions writes the operators' view of the partitions to the record.
func (c *cluster) logPartitions(when string) {
	for line := range strings.Lines(c.partitions()) {
		c.record.line("partitions %s: %s", when, strings.TrimSpace(line))
	}
}

// judgeLost asks for the state and the bytes of every accepted message, and again after each failure.
func (c *cluster) judgeLost(sent []*accepted) bool {
	missing := sent
	for round := range askRounds {
		missing = c.askAll(missing, round)
	}
	for _, each := range missing {
		c.record.line("LOST    %s (request %s) was accepted, is not due, and does not come back", each.messageID, each.requestID)
	}
	c.record.note("%d of %d accepted messages do not come back", len(missing), len(sent))
	return len(missing) > 0
}

// askAll asks for messages, many at a time, and returns those that do not come back.
func (c *cluster) askAll(asked []*accepted, round int) []*accepted {
	var mutex sync.Mutex
	var wait sync.WaitGroup
	var missing []*accepted
	numbers := numbersBelow(len(asked))
	for range askParallel {
		wait.Go(func() {
			for i := range numbers {
				each, front := asked[i], c.fronts[(i+round)%len(c.fronts)]
				status, body := c.body(front, each.messageID)
				if status == http.StatusOK && bytes.Equal(body, each.body) && c.state(front, each.messageID).State == "queued" {
					continue
				}
				mutex.Lock()
				missing = append(missing, each)
				mutex.Unlock()
			}
		})
	}
	wait.Wait()
	return missing
}
