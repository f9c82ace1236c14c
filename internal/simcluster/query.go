package simcluster

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	queryTimeout      = 2 * time.Second
	queryAttempts     = 8
	queryPause        = 500 * time.Millisecond
	concurrentQueries = 8
	statePath         = "/api/message/"
	bodyPath          = "/api/message-body/"
)

// stateDocument is the body of the response to a query for a message's state.
type stateDocument struct {
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// queryStates queries the state of each accepted message, and the body of those that have not completed.
func (c *Cluster) queryStates() {
	client := c.newHTTPClient(clientIP)
	var accepted []Attempt
	c.recorder.write(func(history *History) {
		for _, attempt := range history.Attempts {
			if attempt.Accepted() {
				accepted = append(accepted, attempt)
			}
		}
	})
	var asking sync.WaitGroup
	places := make(chan struct{}, concurrentQueries)
	for _, attempt := range accepted {
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			answer := c.queryState(client, attempt)
			c.recorder.write(func(history *History) { history.StateResponses = append(history.StateResponses, answer) })
		})
	}
	asking.Wait()
}

// queryState queries a message's state, and its body unless it has completed. A message may complete between the
// two queries, and its body is gone then; so both are repeated once where a queued message has no body.
func (c *Cluster) queryState(client *http.Client, attempt Attempt) StateResponse {
	answer := c.queryOnce(client, attempt)
	if answer.State == stateQueued && answer.BodyStatus == http.StatusNotFound {
		return c.queryOnce(client, attempt)
	}
	return answer
}

// queryOnce queries a message's state and body without repeating.
func (c *Cluster) queryOnce(client *http.Client, attempt Attempt) StateResponse {
	answer := StateResponse{RequestID: attempt.RequestID}
	var text []byte
	answer.Status, text = c.queryFronts(client, statePath+attempt.queryName())
	var state stateDocument
	if answer.Status == http.StatusOK && json.Unmarshal(text, &state) == nil {
		answer.State, answer.Stamp = state.State, state.Stamp
	}
	if answer.State != stateCompleted {
		answer.BodyStatus, text = c.queryFronts(client, bodyPath+attempt.queryName())
		answer.Body = string(text)
	}
	return answer
}

// queryName is the name by which the message can be queried: its ID where the client knows it.
func (t *Attempt) queryName() string {
	if t.MessageID != "" {
		return t.MessageID
	}
	return t.RequestID
}

// queryFronts queries one front after another until one answers 200, and returns the last response.
func (c *Cluster) queryFronts(client *http.Client, path string) (int, []byte) {
	status, text := 0, []byte(nil)
	for range queryAttempts {
		status, text = c.get(client, "http://"+c.loadBalancer.pick().address(clientPort)+path)
		if status == http.StatusOK {
			break
		}
		time.Sleep(queryPause)
	}
	return status, text
}

// get makes one GET request. The status is 0 where there is no complete response.
func (c *Cluster) get(client *http.Client, url string) (int, []byte) {
	ctx, cancel := context.WithTimeout(c.ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = routeHost
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}
