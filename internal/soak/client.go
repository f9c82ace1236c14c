package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	clientDeadline   = 2 * time.Second
	clientTries      = 3
	clientRetryPause = 100 * time.Millisecond
	queryTimeout     = 2 * time.Second
	queryTries       = 4
	queryParallelism = 16
	queryAllTimeout  = 30 * time.Second // messages that were not asked for by then are not judged by their state
	idleConnections  = 64
	// failingEvery and refusedEvery: one of so many messages fails at each run, or is refused for good.
	failingEvery = 47
	refusedEvery = 61
	// foreignKeyEvery: one of so many order keys is not UTF-8.
	foreignKeyEvery = 5
)

// clients are stand-ins of the clients. They go on using open connections until these end.
type clients struct {
	deployment *deployment
	client     *http.Client
	requests   atomic.Uint64
	seed       uint64
}

func newClients(d *deployment, seed uint64) *clients {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	return &clients{deployment: d, client: &http.Client{Transport: transport}, seed: seed}
}

// outgoing is a message before it is sent.
type outgoing struct {
	route    RouteName
	path     string
	orderKey []byte
	delay    time.Duration
	body     []byte
}

// send sends a burst, and returns when all its messages have been accepted or given up.
func (c *clients) send(ctx context.Context, number int, burst *Burst) {
	var senders sync.WaitGroup
	var next atomic.Int64
	for range burst.Clients {
		senders.Go(func() {
			for i := int(next.Add(1)) - 1; i < burst.Messages && ctx.Err() == nil; i = int(next.Add(1)) - 1 {
				c.sendMessage(ctx, i, c.newMessage(number, i, burst))
			}
		})
	}
	senders.Wait()
}

// newMessage returns a message of a burst. Its contents depend on the seed and the numbers only.
func (c *clients) newMessage(number, index int, burst *Burst) *outgoing {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)<<32|uint64(index)))
	answer := answerDone
	switch {
	case index%failingEvery == failingEvery-1:
		answer = answerFails
	case index%refusedEvery == refusedEvery-1:
		answer = answerNever
	}
	message := &outgoing{
		route: burst.Route, path: fmt.Sprintf("%s%d/%d/%s", pathPrefix(burst.Route), number, index, answer),
		delay: milliseconds(burst.DelayMS), body: make([]byte, burst.BodyBytes),
	}
	for i := range message.body {
		message.body[i] = byte(random.Uint32())
	}
	if burst.OrderKeys > 0 {
		message.orderKey = orderKey(number, random.IntN(burst.OrderKeys))
	}
	return message
}

// orderKey returns an order key of a burst. Some have bytes that are not UTF-8.
func orderKey(burst, number int) []byte {
	key := fmt.Appendf(nil, "key-%d-%d", burst, number)
	if number%foreignKeyEvery == foreignKeyEvery-1 {
		key = append(key, 0xe9)
	}
	return key
}

// sendMessage hands a message in at the fronts, one after the other, until one accepts it. It is sent again only after a
// status that promises that it was not taken.
func (c *clients) sendMessage(ctx context.Context, index int, message *outgoing) {
	end := time.Now().Add(clientDeadline)
	for try := range clientTries {
		front := c.deployment.fronts[(index+try)%len(c.deployment.fronts)]
		status := c.try(ctx, front, message, time.Until(end))
		if !promisesNotTaken(status) || time.Until(end) < 2*clientRetryPause {
			return
		}
		time.Sleep(clientRetryPause)
	}
}

// promisesNotTaken reports whether a status promises that the message will never run.
func promisesNotTaken(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// try sends a message to a front once and records it. It returns the status, or 0 without an answer.
func (c *clients) try(ctx context.Context, front *machine, message *outgoing, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	recorder := c.deployment.recorder
	attempt := Attempt{
		RequestID: fmt.Sprintf("%016x", c.seed<<32+c.requests.Add(1)), Front: front.name, Route: message.route,
		OrderKey: message.orderKey, Path: message.path, SentAt: recorder.now(), Delay: message.delay,
		BodyHash: xxhash.Sum64(message.body),
	}
	attempt.Status, attempt.MessageID = c.post(ctx, front, message, attempt.RequestID, limit)
	attempt.AnsweredAt = recorder.now()
	recorder.write(func(history *History) { history.Attempts = append(history.Attempts, attempt) })
	return attempt.Status
}

// post sends a message and returns the status and the message's name.
func (c *clients) post(
	ctx context.Context, front *machine, message *outgoing, requestID string, limit time.Duration,
) (int, string) {
	url := "http://" + front.address(c.deployment.ports.Front) + message.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(message.body))
	if err != nil {
		return 0, ""
	}
	request.Host = routeHost
	request.Header.Set(headerRequestID, requestID)
	request.Header.Set(headerDeadline, strconv.FormatInt(limit.Milliseconds(), 10))
	if len(message.orderKey) > 0 {
		request.Header.Set(headerOrderKey, string(message.orderKey))
	}
	if message.delay > 0 {
		request.Header.Set(headerDelay, strconv.FormatInt(message.delay.Milliseconds(), 10))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, ""
	}
	if name := response.Header.Get(headerMessageID); name != "" {
		return response.StatusCode, name
	}
	return response.StatusCode, requestID
}

// queryAll asks for the state of accepted messages, and for the bodies of those that have not completed.
func (c *clients) queryAll(ctx context.Context, accepted []Attempt) {
	ctx, cancel := context.WithTimeout(ctx, queryAllTimeout)
	defer cancel()
	var queries sync.WaitGroup
	slots := make(chan struct{}, queryParallelism)
	for i := range accepted {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		queries.Go(func() {
			defer func() { <-slots }()
			state := c.query(ctx, i, &accepted[i])
			if ctx.Err() != nil {
				return
			}
			c.deployment.recorder.write(func(history *History) { history.States = append(history.States, state) })
		})
	}
	queries.Wait()
}

// query asks one front after the other for a message.
func (c *clients) query(ctx context.Context, index int, attempt *Attempt) FinalState {
	state := FinalState{RequestID: attempt.RequestID}
	var text []byte
	state.Status, text = c.ask(ctx, index, "/api/message/"+attempt.MessageID)
	if state.Status == http.StatusOK {
		var answer struct{ State, Stamp string }
		if json.Unmarshal(text, &answer) == nil {
			state.State, state.Stamp = answer.State, answer.Stamp
		}
	}
	if state.State != stateCompleted {
		state.BodyStatus, text = c.ask(ctx, index, "/api/message-body/"+attempt.MessageID)
		state.BodyHash = xxhash.Sum64(text)
	}
	return state
}

// ask sends a query to one front after the other until one answers 200. It returns the last answer.
func (c *clients) ask(ctx context.Context, index int, path string) (int, []byte) {
	status, text := 0, []byte(nil)
	for try := range queryTries {
		front := c.deployment.fronts[(index+try)%len(c.deployment.fronts)]
		if status, text = c.get(ctx, front, path); status == http.StatusOK {
			break
		}
		time.Sleep(clientRetryPause)
	}
	return status, text
}

// get sends a query to a front once. The status is 0 without an answer.
func (c *clients) get(ctx context.Context, front *machine, path string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.address(c.deployment.ports.Front)+path, nil)
	if err != nil {
		return 0, nil
	}
	request.Host = routeHost
	response, err := c.client.Do(request)
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
