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
	maxResponseBytes  = 1 << 20
	ownerRecheckAfter = 20 * time.Millisecond // MayDeliver is called again for a first byte later than this
)

// attempt is one send of a message to a worker. The event loop creates it and copies into it what it needs of the
// loop's state, because the attempt runs on a goroutine of its own.
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
	cancelled  atomic.Bool // it was cancelled before its first byte
	connection atomic.Pointer[workerConnection]
}

// startAttempt starts the goroutine of an attempt that the partition gate has admitted. Run waits for that goroutine.
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

// run sends the message, notifies the owner of the result, and then the event loop. The owner is notified first, so
// that it knows of every result that the loop applies.
func (a *attempt) run() {
	report := a.send()
	a.notifyOwner(&report)
	a.engine.gates.leave(a.message.Partition)
	a.engine.events.push(attemptEnded{a, report})
}

// notifyOwner reports the result to the owner, and sets report.ended if the message has ended.
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

// send sends the message and reads the response.
func (a *attempt) send() attemptReport {
	body, err := a.engine.options.Owner.Body(a.message)
	if err != nil {
		a.engine.logger.Warn("cannot read message body", zap.String("message", a.message.ID), zap.Error(err))
		return attemptReport{result: resultBodyUnreadable}
	}
	ctx, cancel := context.WithDeadline(context.Background(), a.startedAt.Add(a.route.Timeout))
	defer cancel()
	request := a.request(ctx, body)
	response, err := a.transport.RoundTrip(request)
	if err != nil {
		return attemptReport{result: a.resultWithoutResponse(ctx)}
	}
	return a.readResponse(ctx, response)
}

// request returns the HTTP request of the attempt.
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
	remaining := a.route.Timeout - time.Since(a.startedAt)
	header := http.Header{
		headerRequestID: {a.message.RequestID},
		headerDeadline:  {strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)},
		headerUserAgent: {""}, // the header is not sent
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

// targetURL returns a URL that net/http writes byte for byte as the target was received.
func targetURL(address, target string) *url.URL {
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}
	}
	// net/http would write an opaque part that starts with two slashes together with the scheme.
	path, query, hasQuery := strings.Cut(target, "?")
	parsed := &url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	if unescaped, err := url.PathUnescape(path); err == nil {
		parsed.Path, parsed.RawPath = unescaped, path
	}
	return parsed
}

// gotConnection binds a connection to the attempt that uses it.
func (a *attempt) gotConnection(info httptrace.GotConnInfo) {
	if connection, ok := info.Conn.(*workerConnection); ok {
		connection.attempt.Store(a)
	}
}

// admitWrite reports whether a connection may write bytes of the attempt. The connection calls it before each write.
// The first write is admitted only if the attempt may still start; later writes are admitted only on the same
// connection, so that no attempt is sent twice.
func (a *attempt) admitWrite(conn *workerConnection) bool {
	if a.started.Load() {
		return a.connection.Load() == conn
	}
	if a.endpoint.unavailable.Load() || a.ownerForbids() {
		a.cancelled.Store(true)
		return false
	}
	a.connection.Store(conn)
	a.started.Store(true)
	return true
}

// ownerForbids calls MayDeliver again if the event loop's call is longer ago than ownerRecheckAfter.
func (a *attempt) ownerForbids() bool {
	return time.Since(a.startedAt) > ownerRecheckAfter && !a.engine.options.Owner.MayDeliver(a.message.Partition)
}

// resultWithoutResponse returns the result of an attempt that got no complete response.
func (a *attempt) resultWithoutResponse(ctx context.Context) attemptResult {
	switch {
	case a.started.Load() && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return resultTimedOut
	case a.started.Load():
		return resultUncertain
	case a.cancelled.Load():
		return resultCancelled
	default:
		return resultUnreachable
	}
}

// readResponse reads the response to its end and classifies it. It closes a connection whose state is unclear.
func (a *attempt) readResponse(ctx context.Context, response *http.Response) attemptReport {
	report := classifyResponse(response, a.message.RequestID)
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
	_ = response.Body.Close() // closes the connection unless the whole body was read
	if err != nil && report.result.needsCompleteBody() {
		report.result = a.resultWithoutResponse(ctx)
	}
	if err != nil || size == maxResponseBytes || report.result == resultUncertain {
		a.closeConnection()
	}
	return report
}

func (a *attempt) closeConnection() {
	if connection := a.connection.Load(); connection != nil {
		_ = connection.Close()
	}
}
