package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Figures of the scenario "stalled".
const (
	stalledFirst   = 3000 // messages before the change
	stalledAfter   = 40   // messages after it
	stalledRate    = 39.0 // rate-per-s that the change sets
	stalledTimeout = 800
	stalledWatch   = 30 * time.Second
	stalledCalm    = 6 * time.Second // without an attempt, after which a message that is due counts as lost
)

// playStalled sends messages to a service without a rate limit, and then has the operator set one, far above what comes
// from then on. It reports whether messages that were accepted after that stay queued, with all workers idle.
func playStalled(c *cluster, trouble bool) (bool, error) {
	log, err := startWorkers(c, "fee-confirm", 11, 4, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := c.startAll(); err != nil {
		return false, err
	}
	routes := []route{{
		Name: "r-fee", Host: host, PathPrefix: "/babo462/", RouteType: "async", TimeoutMS: stalledTimeout,
		TargetLatencyMS: 80, Priority: 2, Service: "fee-confirm", MaxAttempts: 4, RetentionS: 90, TargetStartMS: 800,
	}}
	unlimited := service{Name: "fee-confirm", HealthCheck: "/health", MaxConnections: 110, Protocol: "h1"}
	if err := c.configure(routes, []service{unlimited}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the list of workers is read

	newMessage := func(i int) message {
		return message{path: fmt.Sprintf("/babo462/%d", i), body: fmt.Appendf(nil, "fee %d", i)}
	}
	sent := c.sendMany(c.fronts, stalledFirst, 16, newMessage)
	c.record.note("%d of %d messages were accepted", len(sent), stalledFirst)
	if len(sent) < stalledFirst*9/10 || !await(30*time.Second, func() bool { return log.count() >= len(sent) }) {
		return false, fmt.Errorf("the messages before the change were not all accepted and run")
	}
	time.Sleep(2 * time.Second)
	changed := unlimited
	if trouble {
		changed.RatePerS = stalledRate
	} else {
		routes[0].TimeoutMS = stalledTimeout + 100
	}
	if err := c.change(routes, []service{changed}); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // config-apply-ms and more
	after := c.sendMany(c.fronts, stalledAfter, 1, newMessage)
	c.record.note("%d of %d messages were accepted after the change", len(after), stalledAfter)
	if len(after) < stalledAfter*9/10 {
		return false, fmt.Errorf("too few messages were accepted after the change")
	}
	time.Sleep(stalledWatch)
	return c.judgeStalled(log, after), nil
}

// judgeStalled counts the messages that are queued though they are due, no worker has had them, and no message has
// succeeded lately.
func (c *cluster) judgeStalled(log *runLog, after []*accepted) bool {
	stalled, ran := 0, 0
	quiet := time.Since(log.lastAnswer())
	for i, each := range after {
		if len(log.of(each.requestID)) > 0 {
			ran++
			continue
		}
		answer := c.state(c.fronts[i%len(c.fronts)], each.messageID)
		if answer.State == "queued" && time.Since(each.at) > stalledCalm && quiet > stalledCalm {
			stalled++
			c.record.line("LOST    %s was accepted %.1f s ago, is due, and no worker has had it", each.requestID, time.Since(each.at).Seconds())
		}
	}
	c.record.note("%d of %d messages ran; %d are queued and no worker has had them; the last success was %.1f s ago",
		ran, len(after), stalled, quiet.Seconds())
	return stalled > 0
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

// change updates routes and services of the configuration.
func (c *cluster) change(routes []route, services []service) error {
	body, err := json.Marshal(map[string]any{
		"version": 9, "upsert": map[string]any{"routes": routes, "services": services},
	})
	if err != nil {
		return err
	}
	taken := await(5*time.Second, func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+c.fronts[0].at(c.ports.Control)+"/api/config/update", bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("X-If-Base-Version", "7")
		request.Header.Set("Content-Type", "application/json")
		response, err := httpClient.Do(request)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	if !taken {
		return fmt.Errorf("the change of the configuration was not acknowledged")
	}
	c.record.note("the change is acknowledged: %s", body)
	return nil
}
