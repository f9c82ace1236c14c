package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Figures of the scenario "halted".
const (
	haltedKeys      = 16 // order keys, each in a partition of its own
	haltedClients   = 2  // of each key
	haltedBytes     = 4 << 10
	haltedLead      = 3 * time.Second // of traffic before the store is emptied
	haltedAfter     = 2 * time.Second // of traffic after that
	haltedLimit     = 30 * time.Second
	haltedCalm      = 10 * time.Second // without traffic
	haltedPatience  = 6 * time.Second  // without an attempt, after which a message that is due counts as lost
	haltedNoSuccess = 3 * time.Second
	partitionCount  = 64
)

// playHalted sends ordered messages about a few things, while the operator has a store emptied. It reports whether
// messages that were accepted stay queued after the traffic has ended, with all workers idle.
func playHalted(c *cluster, trouble bool) (bool, error) {
	log, err := startWorkers(c, "seat-ledger", 20, 4, time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{
		Name: "r-seat", Host: host, PathPrefix: "/noda141/", RouteType: "async", TimeoutMS: 500, Ordered: true,
		TargetLatencyMS: 80, Priority: 1, Service: "seat-ledger", MaxAttempts: 6, RetentionS: 200, TargetStartMS: 500,
	}}
	services := []service{{Name: "seat-ledger", HealthCheck: "/health", MaxConnections: 100, Protocol: "h1"}}
	if err := c.configure(routes, services); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the list of workers is read
	leaving := c.stores[0]
	keys := c.keysBackedUpBy(leaving)
	c.record.note("keys: %q", keys)

	stop := make(chan struct{})
	traffic := c.sendKeys(keys, stop)
	time.Sleep(haltedLead)
	var failure error
	if trouble {
		failure = c.empty(leaving)
	}
	time.Sleep(haltedAfter)
	close(stop)
	sent := traffic()
	c.record.note("%d messages were accepted; the traffic ends", len(sent))
	if failure != nil {
		return false, failure
	}
	time.Sleep(haltedCalm)
	return c.judgeHalted(log, sent), nil
}

// keysBackedUpBy returns an order key for each of some partitions that have a store as their backup.
func (c *cluster) keysBackedUpBy(store *machine) []string {
	var wanted []int
	for line := range strings.Lines(c.partitions()) {
		var id int
		fields := strings.Fields(line)
		if len(fields) == 6 && fields[3] == store.name && len(wanted) < haltedKeys {
			if _, err := fmt.Sscan(fields[0], &id); err == nil {
				wanted = append(wanted, id)
			}
		}
	}
	var keys []string
	for i := 0; len(wanted) > 0; i++ {
		key := fmt.Sprintf("course-%d", i)
		hash := fnv.New64a()
		hash.Write([]byte(key))
		if at := slices.Index(wanted, int(hash.Sum64()%partitionCount)); at >= 0 {
			wanted = slices.Delete(wanted, at, at+1)
			keys = append(keys, key)
		}
	}
	return keys
}

// sendKeys starts clients that send one message after the other until stop is closed. The returned function waits for
// their end and returns what was accepted.
func (c *cluster) sendKeys(keys []string, stop <-chan struct{}) func() []*accepted {
	var mutex sync.Mutex
	var wait sync.WaitGroup
	var sent []*accepted
	body := bytes.Repeat([]byte("seat"), haltedBytes/4)
	for n := range len(keys) * haltedClients {
		key := keys[n%len(keys)]
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				taken, err := c.send(rotate(c.fronts, n), message{path: "/noda141/x", orderKey: key, body: body})
				if err != nil {
					continue
				}
				mutex.Lock()
				sent = append(sent, taken)
				mutex.Unlock()
			}
		})
	}
	return func() []*accepted {
		wait.Wait()
		return sent
	}
}

// empty has the operator empty a store, and waits until the system says that it is done.
func (c *cluster) empty(store *machine) error {
	path := "http://" + c.fronts[0].at(c.ports.Control) + "/api/retire/" + store.name
	response, err := httpClient.Post(path+"/start", "application/json", strings.NewReader(`{"duration-s":10}`))
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	c.record.note("%s is to be emptied: %s", store.name, response.Status)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the order was not taken")
	}
	completed := await(haltedLimit, func() bool {
		response, err := httpClient.Get(path + "/read")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		answer, _ := io.ReadAll(response.Body)
		return strings.Contains(string(answer), "completed")
	})
	c.record.note("%s is emptied: %v", store.name, completed)
	return nil
}

// judgeHalted counts the messages that are queued though no worker has had them, and no message has succeeded lately.
func (c *cluster) judgeHalted(log *runLog, sent []*accepted) bool {
	ran := log.requestIDs()
	quiet := time.Since(log.lastAnswer())
	halted, asked := 0, 0
	for _, each := range sent {
		if ran[each.requestID] || time.Since(each.at) < haltedPatience {
			continue
		}
		halted++
		if asked < 20 {
			asked++
			answer := c.state(c.fronts[asked%len(c.fronts)], each.messageID)
			c.record.line("LOST    %s was accepted %.1f s ago and no worker has had it; its state is %q",
				each.requestID, time.Since(each.at).Seconds(), answer.State)
		}
	}
	c.record.note("%d of %d messages were never given to a worker; the last success was %.1f s ago", halted, len(sent), quiet.Seconds())
	return halted > 0 && quiet > haltedNoSuccess
}

// requestIDs returns the ids of all requests that ran.
func (l *runLog) requestIDs() map[string]bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ids := make(map[string]bool, len(l.runs))
	for _, each := range l.runs {
		ids[each.requestID] = true
	}
	return ids
}

// lastAnswer returns when a worker last answered a message.
func (l *runLog) lastAnswer() time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var last time.Time
	for _, each := range l.runs {
		if each.answered.After(last) {
			last = each.answered
		}
	}
	return last
}
