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
	queryRetryPause   = 500 * time.Millisecond
	concurrentQueries = 8
	statePath         = "/api/message/"
	bodyPath          = "/api/message-body/"
)

// stateDocument is the body of a response that states a message's or a retirement's state.
type stateDocument struct {
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// queryStates queries the state of each accepted message, and the body of each message that has not completed.
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
	var queries sync.WaitGroup
	slots := make(chan struct{}, concurrentQueries)
	for _, attempt := range accepted {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			response := c.queryState(client, attempt)
			c.recorder.write(func(history *History) { history.StateResponses = append(history.StateResponses, response) })
		})
	}
	queries.Wait()
}

// queryState queries a message's state, and its body unless it has completed. A message that completes between the two
// queries no longer has a body, so queryState repeats both once if a queued message has none.
func (c *Cluster) queryState(client *http.Client, attempt Attempt) StateResponse {
	response := c.queryOnce(client, attempt)
	if response.State == stateQueued && response.BodyStatus == http.StatusNotFound {
		return c.queryOnce(client, attempt)
	}
	return response
}

// queryOnce queries a message's state and body once.
func (c *Cluster) queryOnce(client *http.Client, attempt Attempt) StateResponse {
	response := StateResponse{RequestID: attempt.RequestID}
	var text []byte
	response.Status, text = c.queryFronts(client, statePath+attempt.queryName())
	var state stateDocument
	if response.Status == http.StatusOK && json.Unmarshal(text, &state) == nil {
		response.State, response.Stamp = state.State, state.Stamp
	}
	if response.State != stateCompleted {
		response.BodyStatus, text = c.queryFronts(client, bodyPath+attempt.queryName())
		response.Body = string(text)
	}
	return response
}

// queryName returns the ID by which the message is queried: the message ID if the client knows it, else the request ID.
func (a *Attempt) queryName() string {
	if a.MessageID != "" {
		return a.MessageID
	}
	return a.RequestID
}

// queryFronts sends a query to fronts at random until one answers 200, up to queryAttempts times. It returns the last
// response.
func (c *Cluster) queryFronts(client *http.Client, path string) (int, []byte) {
	status, text := 0, []byte(nil)
	for range queryAttempts {
		status, text = c.get(client, "http://"+c.loadBalancer.pick().address(clientPort)+path)
		if status == http.StatusOK {
			break
		}
		time.Sleep(queryRetryPause)
	}
	return status, text
}

// get makes one GET request. The status is 0 if there is no complete response.
func (c *Cluster) get(client *http.Client, url string) (int, []byte) {
	ctx, cancel := context.WithTimeout(c.ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = routeHost
	httpResponse, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = httpResponse.Body.Close() }()
	text, err := io.ReadAll(httpResponse.Body)
	if err != nil {
		return 0, nil
	}
	return httpResponse.StatusCode, text
}
