package delivery

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

const (
	maxAnswerBytes    = 1 << 20
	ownerRecheckAfter = 20 * time.Millisecond // MayDeliver is called again if the first byte is so late
)

// attempt is one send of a message to a worker. The event loop makes it and copies what it needs of the loop's state: it
// runs on a goroutine of its own.
type attempt struct {
	engine    *Engine
	adapter   *decisionAdapter
	job       *job
	endpoint  *endpoint
	message   *message.Message
	route     *configuration.Route
	failures  int
	address   string
	instance  string // empty for a static endpoint
	transport *http.Transport
	startedAt time.Time

	started    atomic.Bool // its first byte may have been sent
	withdrawn  atomic.Bool // it was called off before its first byte
	connection atomic.Pointer[workerConnection]
}

// startAttempt starts an attempt that has entered the partition gate. Its goroutine is the attempt's own; Run waits for it.
func (e *Engine) startAttempt(adapter *decisionAdapter, j *job, target *endpoint) {
	a := &attempt{
		engine:    e,
		adapter:   adapter,
		job:       j,
		endpoint:  target,
		message:   j.queued.message,
		route:     j.route,
		failures:  j.queued.failures,
		address:   target.worker.Address,
		transport: target.transport,
		startedAt: time.Now(),
	}
	if !target.static {
		a.instance = target.worker.ID
	}
	e.ownerCalls.Go(a.run)
}

// run makes the attempt, notifies the owner of its result, and then the event loop. The owner comes first: what the loop
// commits is known to it.
func (a *attempt) run() {
	report := a.send()
	a.notifyOwner(&report)
	a.engine.gates.leave(a.message.Partition)
	a.engine.events.push(attemptEnded{a, report})
}

// notifyOwner tells the owner of the messages what came of the attempt, and notes in the report whether the message has
// ended.
func (a *attempt) notifyOwner(report *attemptReport) {
	owner := a.engine.options.Owner
	switch report.result {
	case resultCompleted:
		report.ended = true
		owner.Ended(a.message, message.Outcome{State: message.Completed, Stamp: report.stamp})
	case resultRejected:
		report.ended = true
		owner.Ended(a.message, deadLetter)
	case resultFailed:
		failures := a.failures + 1
		if report.ended = a.route.MaxAttempts > 0 && failures >= a.route.MaxAttempts; report.ended {
			owner.Ended(a.message, deadLetter)
			return
		}
		owner.Failed(a.message, failures)
	}
}

// send sends the message and reads the answer.
func (a *attempt) send() attemptReport {
	body, err := a.engine.options.Owner.Body(a.message)
	if err != nil {
		a.engine.logger.Warn("cannot read message body", zap.String("message", a.message.ID), zap.Error(err))
		return attemptReport{result: resultBodyUnreadable}
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.startedAt.Add(a.route.Timeout))
	defer cancel()
	request := a.request(ctx, body)
	answer, err := a.transport.RoundTrip(request)
	if err != nil {
		return attemptReport{result: a.resultWithoutAnswer(ctx)}
	}
	return a.readAnswer(ctx, answer)
}

// request makes the HTTP request of the attempt.
func (a *attempt) request(ctx context.Context, body []byte) *http.Request {
	request := &http.Request{
		Method:     a.message.Method,
		URL:        targetURL(a.address, a.message.Target),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Host:       a.message.Host,
		Header:     a.header(),
		Body:       http.NoBody,
	}
	if len(body) > 0 {
		request.ContentLength = int64(len(body))
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	}
	return request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConnection}))
}

func (a *attempt) header() http.Header {
	left := a.route.Timeout - time.Since(a.startedAt)
	header := http.Header{
		headerRequestID: {a.message.RequestID},
		headerDeadline:  {strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
		headerUserAgent: {""}, // none is sent
	}
	optional := []struct{ name, value string }{
		{headerOrderKey, a.message.OrderKey},
		{headerContentType, a.message.ContentType},
		{headerExpectInstance, a.instance},
	}
	for _, field := range optional {
		if field.value != "" {
			header[field.name] = []string{field.value}
		}
	}
	return header
}

// targetURL makes a URL that net/http writes byte for byte as the target was received.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	// An opaque part with two slashes in front would be written with the scheme.
	path, query, hasQuery := strings.Cut(target, "?")
	made := &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if plain, err := url.PathUnescape(path); err == nil {
		made.Path, made.RawPath = plain, path
	}
	return made
}

// gotConnection notes which connection the attempt uses.
func (a *attempt) gotConnection(info httptrace.GotConnInfo) {
	if connection, ok := info.Conn.(*workerConnection); ok {
		connection.attempt.Store(a)
	}
}

// admitWrite is called before each write of a connection. The first write is admitted only if the attempt may still start;
// later ones only on the same connection, so that no attempt is sent twice.
func (a *attempt) admitWrite(on *workerConnection) bool {
	if a.started.Load() {
		return a.connection.Load() == on
	}
	if a.endpoint.unavailable.Load() || a.ownerForbids() {
		a.withdrawn.Store(true)
		return false
	}
	a.connection.Store(on)
	a.started.Store(true)
	return true
}

// ownerForbids calls MayDeliver again if some time has passed since the event loop did.
func (a *attempt) ownerForbids() bool {
	return time.Since(a.startedAt) > ownerRecheckAfter && !a.engine.options.Owner.MayDeliver(a.message.Partition)
}

// resultWithoutAnswer is the result of an attempt that got no complete answer.
func (a *attempt) resultWithoutAnswer(ctx context.Context) attemptResult {
	switch {
	case a.started.Load() && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultTimedOut
	case a.started.Load():
		return resultUncertain
	case a.withdrawn.Load():
		return resultWithdrawn
	default:
		return resultUnreachable
	}
}

// readAnswer reads the answer to its end and classifies it. A connection whose state is unclear is closed.
func (a *attempt) readAnswer(ctx context.Context, answer *http.Response) attemptReport {
	report := classifyAnswer(answer, a.message.RequestID)
	size, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes))
	_ = answer.Body.Close() // closes the connection unless all was read
	if err != nil && report.result.needsCompleteBody() {
		report.result = a.resultWithoutAnswer(ctx)
	}
	if err != nil || size == maxAnswerBytes || report.result == resultUncertain {
		a.closeConnection()
	}
	return report
}

func (a *attempt) closeConnection() {
	if connection := a.connection.Load(); connection != nil {
		_ = connection.Close()
	}
}
