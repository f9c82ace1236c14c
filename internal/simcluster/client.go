package simcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	clientIP      = "10.4.0.1"
	clientPort    = 8044
	deadline      = 2500 * time.Millisecond // of a client's message
	answerSlack   = 200 * time.Millisecond  // for which a client waits beyond its deadline
	triesAtMost   = 4
	retryPause    = 200 * time.Millisecond // where the answer names none
	rejectedPart  = 0.01                   // of the messages are answered 422 by workers
	hopelessPart  = 0.01                   // of the messages always fail
	askTimeout    = 2 * time.Second
	askAttempts   = 8
	askPause      = 500 * time.Millisecond
	askersAtOnce  = 8
	statePath     = "/api/message/"
	bodyPath      = "/api/message-body/"
	idlePerFront  = 32
	idleFor       = 5 * time.Second
	requestIDForm = "try-%d"
)

// newHTTPClient makes a client on a host of the network.
func (c *Cluster) newHTTPClient(ip string) *http.Client {
	host := c.network.Host(ip)
	transport := &http.Transport{
		DialContext:        func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
		DisableCompression: true, MaxIdleConnsPerHost: idlePerFront, IdleConnTimeout: idleFor,
	}
	context.AfterFunc(c.ctx, transport.CloseIdleConnections)
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Load is an open-loop load of clients: it sends whether or not earlier messages were answered.
type Load struct {
	cluster *Cluster
	client  *http.Client
	end     context.CancelFunc
	sending sync.WaitGroup

	mutex  sync.Mutex
	routes []Route
	rate   float64
	tries  int
}

// newLoad starts the load.
func newLoad(c *Cluster) *Load {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &Load{cluster: c, client: c.newHTTPClient(clientIP), end: cancel, routes: c.options.Routes, rate: c.options.Rate}
	l.sending.Go(func() { l.run(ctx) })
	return l
}

// SetRoutes changes the routes that messages are sent on.
func (l *Load) SetRoutes(routes []Route) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.routes = routes
}

// stop ends the load and waits for the answers.
func (l *Load) stop() {
	l.end()
	l.sending.Wait()
}

func (l *Load) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(2 * l.cluster.random.part() / l.rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		l.sending.Go(l.newMessage().send)
	}
}

// clientMessage is a message of a client, which may be tried several times.
type clientMessage struct {
	load      *Load
	route     Route
	orderKey  string
	delay     time.Duration
	fate      string
	firstSent time.Duration
}

func (l *Load) newMessage() *clientMessage {
	random := l.cluster.random
	m := &clientMessage{load: l, route: l.drawRoute(), firstSent: l.cluster.recorder.now()}
	if m.route.Ordered {
		m.orderKey = fmt.Sprintf("key-%d", random.intN(max(m.route.Keys, 1)))
	}
	if m.route.Delay > 0 {
		m.delay = time.Duration(random.part() * float64(m.route.Delay)).Truncate(time.Millisecond)
	}
	switch drawn := random.part(); {
	case drawn < rejectedPart:
		m.fate = fateReject
	case drawn < rejectedPart+hopelessPart:
		m.fate = fateFail
	}
	return m
}

// drawRoute draws a route by the weights.
func (l *Load) drawRoute() Route {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sum := 0
	for _, route := range l.routes {
		sum += route.Weight
	}
	drawn := l.cluster.random.intN(sum)
	for _, route := range l.routes {
		if drawn -= route.Weight; drawn < 0 {
			return route
		}
	}
	return l.routes[0]
}

func (l *Load) nextRequestID() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tries++
	return fmt.Sprintf(requestIDForm, l.tries)
}

// send tries until the message is accepted, an answer is no promise, or time is up.
func (m *clientMessage) send() {
	recorder := m.load.cluster.recorder
	for range triesAtMost {
		try, pause := m.try()
		recorder.write(func(history *History) { history.Tries = append(history.Tries, try) })
		unsent := try.Status == statusNotSent
		if !try.Refused() && !unsent || recorder.now()+pause > m.firstSent+deadline {
			return
		}
		time.Sleep(pause)
	}
}

// statusNotSent stands for a try that reached no front.
const statusNotSent = -1

// try makes one request. It returns for how long to wait before the next.
func (m *clientMessage) try() (Try, time.Duration) {
	cluster := m.load.cluster
	front := cluster.entry.pick()
	id := m.load.nextRequestID()
	try := Try{
		RequestID: id, Front: front.Name, Route: m.route.Name, Path: m.route.prefix() + id + "?" + fateQuery + m.fate,
		OrderKey: m.orderKey, Body: "body of " + id, Delay: m.delay, FirstSent: m.firstSent, SentAt: cluster.recorder.now(),
	}
	ctx, cancel := context.WithTimeout(cluster.ctx, m.firstSent+deadline+answerSlack-cluster.recorder.now())
	defer cancel()
	url := "http://" + front.address(clientPort) + try.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(try.Body))
	if err != nil {
		panic(err) // the URL is always valid
	}
	m.setHeader(request, id)
	response, err := m.load.client.Do(request)
	try.AnsweredAt = cluster.recorder.now()
	if err != nil {
		if isDialError(err) {
			try.Status = statusNotSent
		}
		return try, retryPause
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	try.Status, try.MessageID = response.StatusCode, response.Header.Get("X-Message-Id")
	return try, pauseOf(response)
}

func (m *clientMessage) setHeader(request *http.Request, id string) {
	request.Host = routeHost
	request.Header.Set("X-Request-Id", id)
	left := m.firstSent + deadline - m.load.cluster.recorder.now()
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if m.orderKey != "" {
		request.Header.Set("X-Order-Key", m.orderKey)
	}
	if m.delay > 0 {
		request.Header.Set("X-Delay-Ms", strconv.FormatInt(m.delay.Milliseconds(), 10))
	}
}

func pauseOf(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return retryPause
	}
	return time.Duration(seconds * float64(time.Second))
}

// stateDocument is the answer to a question about a message.
type stateDocument struct {
	State string `json:"state"`
	Stamp string `json:"stamp"`
}

// askForStates asks for the state of each accepted message, and for the bytes of those that have not completed.
func (c *Cluster) askForStates() {
	client := c.newHTTPClient(clientIP)
	var accepted []Try
	c.recorder.write(func(history *History) {
		for _, try := range history.Tries {
			if try.Accepted() {
				accepted = append(accepted, try)
			}
		}
	})
	var asking sync.WaitGroup
	places := make(chan struct{}, askersAtOnce)
	for _, try := range accepted {
		places <- struct{}{}
		asking.Go(func() {
			defer func() { <-places }()
			answer := c.askForState(client, try)
			c.recorder.write(func(history *History) { history.Answers = append(history.Answers, answer) })
		})
	}
	asking.Wait()
}

// askForState asks for a message's state, and for its body unless it is completed. A message may complete between the two
// questions, and its body is gone then; so both are asked again where a queued message has no body.
func (c *Cluster) askForState(client *http.Client, try Try) StateAnswer {
	answer := c.askOnce(client, try)
	if answer.State == stateQueued && answer.BodyStatus == http.StatusNotFound {
		return c.askOnce(client, try)
	}
	return answer
}

func (c *Cluster) askOnce(client *http.Client, try Try) StateAnswer {
	answer := StateAnswer{RequestID: try.RequestID}
	var text []byte
	answer.Status, text = c.askFronts(client, statePath+try.name())
	var state stateDocument
	if answer.Status == http.StatusOK && json.Unmarshal(text, &state) == nil {
		answer.State, answer.Stamp = state.State, state.Stamp
	}
	if answer.State != stateCompleted {
		answer.BodyStatus, text = c.askFronts(client, bodyPath+try.name())
		answer.Body = string(text)
	}
	return answer
}

// name is by what the message can be asked for.
func (t *Try) name() string {
	if t.MessageID != "" {
		return t.MessageID
	}
	return t.RequestID
}

// askFronts asks one front after the other, until one gives a clear answer.
func (c *Cluster) askFronts(client *http.Client, path string) (int, []byte) {
	status, text := 0, []byte(nil)
	for range askAttempts {
		status, text = c.ask(client, "http://"+c.entry.pick().address(clientPort)+path)
		if status == http.StatusOK {
			break
		}
		time.Sleep(askPause)
	}
	return status, text
}

func (c *Cluster) ask(client *http.Client, url string) (int, []byte) {
	ctx, cancel := context.WithTimeout(c.ctx, askTimeout)
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
