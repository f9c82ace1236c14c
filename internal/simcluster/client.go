package simcluster

import (
	"context"
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
	maxAttempts   = 4
	retryPause    = 200 * time.Millisecond // where the answer names none
	rejectedShare = 0.01                   // of the messages are answered 422 by workers
	failingShare  = 0.01                   // of the messages always fail
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

// Load is an open-loop load of clients: it sends new messages whether or not earlier ones were answered. One
// goroutine starts one goroutine a message.
type Load struct {
	cluster *Cluster
	client  *http.Client
	end     context.CancelFunc
	sending sync.WaitGroup

	mutex    sync.Mutex
	routes   []Route
	rate     float64
	attempts int
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
		pause := time.Duration(2 * l.cluster.random.fraction() / l.rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		l.sending.Go(l.newMessage().send)
	}
}

// clientMessage is a message of a client, which is submitted in one or more attempts.
type clientMessage struct {
	load           *Load
	route          Route
	orderKey       string
	delay          time.Duration
	scriptedResult string
	firstSent      time.Duration
}

func (l *Load) newMessage() *clientMessage {
	random := l.cluster.random
	m := &clientMessage{load: l, route: l.drawRoute(), firstSent: l.cluster.recorder.now()}
	if m.route.Ordered {
		m.orderKey = fmt.Sprintf("key-%d", random.intN(max(m.route.Keys, 1)))
	}
	if m.route.Delay > 0 {
		m.delay = time.Duration(random.fraction() * float64(m.route.Delay)).Truncate(time.Millisecond)
	}
	switch drawn := random.fraction(); {
	case drawn < rejectedShare:
		m.scriptedResult = scriptedReject
	case drawn < rejectedShare+failingShare:
		m.scriptedResult = scriptedFailure
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
	l.attempts++
	return fmt.Sprintf(requestIDForm, l.attempts)
}

// send makes attempts until the message is accepted, a response leaves open whether it was, or the time is up.
func (m *clientMessage) send() {
	recorder := m.load.cluster.recorder
	for range maxAttempts {
		attempt, pause := m.attempt()
		recorder.write(func(history *History) { history.Attempts = append(history.Attempts, attempt) })
		unsent := attempt.Status == statusNotSent
		if !attempt.Refused() && !unsent || recorder.now()+pause > m.firstSent+deadline {
			return
		}
		time.Sleep(pause)
	}
}

// statusNotSent is the status of an attempt that reached no front.
const statusNotSent = -1

// attempt makes one request. It also returns how long to wait before the next one.
func (m *clientMessage) attempt() (Attempt, time.Duration) {
	cluster := m.load.cluster
	front := cluster.loadBalancer.pick()
	id := m.load.nextRequestID()
	attempt := Attempt{
		RequestID: id, Front: front.Name, Route: m.route.Name, Path: m.route.prefix() + id + "?" + scriptedResultQuery + m.scriptedResult,
		OrderKey: m.orderKey, Body: "body of " + id, Delay: m.delay, FirstSent: m.firstSent, SentAt: cluster.recorder.now(),
	}
	ctx, cancel := context.WithTimeout(cluster.ctx, m.firstSent+deadline+answerSlack-cluster.recorder.now())
	defer cancel()
	url := "http://" + front.address(clientPort) + attempt.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(attempt.Body))
	if err != nil {
		panic(err) // the URL is always valid
	}
	m.setHeader(request, id)
	response, err := m.load.client.Do(request)
	attempt.AnsweredAt = cluster.recorder.now()
	if err != nil {
		if isDialError(err) {
			attempt.Status = statusNotSent
		}
		return attempt, retryPause
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	attempt.Status, attempt.MessageID = response.StatusCode, response.Header.Get("X-Message-Id")
	return attempt, pauseOf(response)
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

// pauseOf returns the pause that a response asks for in Retry-After.
func pauseOf(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return retryPause
	}
	return time.Duration(seconds * float64(time.Second))
}
