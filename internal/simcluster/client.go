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
	clientIP                   = "10.4.0.1"
	clientPort                 = 8044
	messageDeadline            = 2500 * time.Millisecond // after the first attempt of a client's message
	responseSlack              = 200 * time.Millisecond  // how long a client waits for a response beyond the deadline
	maxAttempts                = 4
	defaultRetryPause          = 200 * time.Millisecond // for responses without a Retry-After header
	rejectedShare              = 0.01                   // share of messages that workers answer with 422
	failingShare               = 0.01                   // share of messages whose every delivery fails
	maxIdleConnectionsPerFront = 32
	idleConnectionTimeout      = 5 * time.Second
	requestIDFormat            = "try-%d"
)

// newHTTPClient returns an HTTP client that dials from an IP address of the simulated network.
func (c *Cluster) newHTTPClient(ip string) *http.Client {
	host := c.network.Host(ip)
	transport := &http.Transport{
		DialContext:        func(ctx context.Context, _, address string) (net.Conn, error) { return host.Dial(ctx, address) },
		DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnectionsPerFront, IdleConnTimeout: idleConnectionTimeout,
	}
	context.AfterFunc(c.ctx, transport.CloseIdleConnections)
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Load is an open-loop load of clients: it sends new messages at random intervals, whether or not earlier ones were
// answered. Each message has a goroutine of its own.
type Load struct {
	cluster     *Cluster
	client      *http.Client
	stopSending context.CancelFunc
	senders     sync.WaitGroup

	mutex    sync.Mutex
	routes   []Route
	rate     float64
	attempts int
}

// newLoad creates the load and starts it.
func newLoad(c *Cluster) *Load {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &Load{cluster: c, client: c.newHTTPClient(clientIP), stopSending: cancel, routes: c.options.Routes, rate: c.options.Rate}
	l.senders.Go(func() { l.run(ctx) })
	return l
}

// SetRoutes changes the routes that new messages are sent on.
func (l *Load) SetRoutes(routes []Route) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.routes = routes
}

// stop ends the load and waits for the clients of all messages that were sent.
func (l *Load) stop() {
	l.stopSending()
	l.senders.Wait()
}

func (l *Load) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := time.Duration(2 * l.cluster.random.fraction() / l.rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		l.senders.Go(l.newMessage().send)
	}
}

// clientMessage is a message of a client, submitted in one or more attempts.
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

// drawRoute returns a route at random, with a probability proportional to its weight.
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
	return fmt.Sprintf(requestIDFormat, l.attempts)
}

// send makes attempts until the message is accepted, a response leaves open whether it was accepted, or too little time
// is left before the deadline.
func (m *clientMessage) send() {
	recorder := m.load.cluster.recorder
	for range maxAttempts {
		attempt, pause := m.attempt()
		recorder.write(func(history *History) { history.Attempts = append(history.Attempts, attempt) })
		unsent := attempt.Status == statusNotSent
		if !attempt.Refused() && !unsent || recorder.now()+pause > m.firstSent+messageDeadline {
			return
		}
		time.Sleep(pause)
	}
}

// statusNotSent is the status of an attempt that could not connect to a front.
const statusNotSent = -1

// attempt makes one request. It returns the request's record, and how long to wait before the next attempt.
func (m *clientMessage) attempt() (Attempt, time.Duration) {
	cluster := m.load.cluster
	front := cluster.loadBalancer.pick()
	id := m.load.nextRequestID()
	attempt := Attempt{
		RequestID: id, Front: front.Name, Route: m.route.Name, Path: m.route.prefix() + id + "?" + scriptedResultQuery + m.scriptedResult,
		OrderKey: m.orderKey, Body: "body of " + id, Delay: m.delay, FirstSent: m.firstSent, SentAt: cluster.recorder.now(),
	}
	ctx, cancel := context.WithTimeout(cluster.ctx, m.firstSent+messageDeadline+responseSlack-cluster.recorder.now())
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
		return attempt, defaultRetryPause
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	attempt.Status, attempt.MessageID = response.StatusCode, response.Header.Get("X-Message-Id")
	return attempt, retryAfter(response)
}

func (m *clientMessage) setHeader(request *http.Request, id string) {
	request.Host = routeHost
	request.Header.Set("X-Request-Id", id)
	left := m.firstSent + messageDeadline - m.load.cluster.recorder.now()
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if m.orderKey != "" {
		request.Header.Set("X-Order-Key", m.orderKey)
	}
	if m.delay > 0 {
		request.Header.Set("X-Delay-Ms", strconv.FormatInt(m.delay.Milliseconds(), 10))
	}
}

// retryAfter returns the pause that the Retry-After header of a response asks for, or defaultRetryPause.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return defaultRetryPause
	}
	return time.Duration(seconds * float64(time.Second))
}
