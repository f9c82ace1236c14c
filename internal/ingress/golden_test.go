package ingress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/message"
	"gladepick/internal/network/simulated"
)

// The golden files under testdata contain HTTP responses as sent on the wire, without the Date header, and the calls
// that the handlers make. Every later version must respond in the same way. The flag -update generates the files; never
// edit them.

// goldenExchange is one request on its own connection.
type goldenExchange struct {
	name    string
	request string
	prepare func(*Front, *fakeMessages)
	// closesWrite reports whether the client closes its writing side after the request.
	closesWrite bool
}

// goldenRequest returns the text of a client's request.
func goldenRequest(method, target, headers, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n%s", method, target, testHost, headers, body)
}

// goldenMessage returns the text of a message with a Content-Length.
func goldenMessage(target, headers, body string) string {
	headers += fmt.Sprintf("X-Request-Id: r1\r\nContent-Length: %d\r\n", len(body))
	return goldenRequest(http.MethodPost, target, headers, body)
}

func goldenPutFails(err error) func(*Front, *fakeMessages) {
	return func(_ *Front, messages *fakeMessages) { messages.putErr = err }
}

func goldenQueryFails(err error) func(*Front, *fakeMessages) {
	return func(_ *Front, messages *fakeMessages) { messages.err = err }
}

func goldenOutcome(outcome message.Outcome) func(*Front, *fakeMessages) {
	return func(_ *Front, messages *fakeMessages) { messages.outcome = outcome }
}

func goldenDraining(front *Front, _ *fakeMessages) { front.draining.Store(true) }

func goldenSlow(_ *Front, messages *fakeMessages) { messages.callTime = time.Hour }

func goldenSubmissions() []goldenExchange {
	notStored := fmt.Errorf("%w: no primary", message.ErrNotStored)
	return []goldenExchange{
		{name: "accepted", request: goldenMessage("/plain/a%2Fb//c;x?q=1&q=%20", "X-Delay-Ms: 1500\r\nX-Order-Key: k\r\nContent-Type: text/x\r\n", "hello")},
		{name: "accepted, ordered", request: goldenMessage("/ordered/1", "X-Order-Key: k\r\n", "")},
		{name: "accepted, chunked", request: goldenRequest(http.MethodPut, "/plain/1", "X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")},
		{name: "accepted, last of its connection", request: goldenMessage("/plain/1", "Connection: close\r\n", "")},
		{name: "accepted, draining", request: goldenMessage("/plain/1", "", ""), prepare: goldenDraining},
		{name: "accepted, below the path of status calls", request: goldenMessage("/api/message/special/1", "", "")},
		{name: "no configuration", request: goldenMessage("/plain/1", "", ""), prepare: func(front *Front, _ *fakeMessages) {
			front.options.Configuration = func() *configuration.Table { return nil }
		}},
		{name: "no route", request: goldenMessage("/other/1", "", "")},
		{name: "no route for all", request: goldenRequest(http.MethodOptions, "*", "", "")},
		{name: "no request id", request: goldenRequest(http.MethodPost, "/plain/1", "", "")},
		{name: "delay is text", request: goldenMessage("/plain/1", "X-Delay-Ms: soon\r\n", "")},
		{name: "delay is negative", request: goldenMessage("/plain/1", "X-Delay-Ms: -1\r\n", "")},
		{name: "deadline has passed", request: goldenMessage("/plain/1", "X-Deadline-Ms: 0\r\n", "")},
		{name: "header too large", request: goldenMessage("/plain/1", "X-Fill: "+strings.Repeat("f", maxHeader)+"\r\n", "")},
		{name: "header far too large", request: goldenMessage("/plain/1", "X-Fill: "+strings.Repeat("f", 64<<10)+"\r\n", "")},
		{name: "no request", request: "nonsense\r\n\r\n"},
		{name: "body too large", request: goldenMessage("/plain/1", "", strings.Repeat("b", maxBody+1))},
		{name: "body too large, chunked", request: goldenRequest(http.MethodPost, "/plain/1", "X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n",
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", maxBody+1, strings.Repeat("b", maxBody+1)))},
		{name: "body too slow", request: goldenRequest(http.MethodPost, "/plain/1", "X-Request-Id: r1\r\nContent-Length: 5\r\n", "abc")},
		{name: "body incomplete", request: goldenRequest(http.MethodPost, "/plain/1", "X-Request-Id: r1\r\nContent-Length: 5\r\n", "abc"), closesWrite: true},
		{name: "too many bodies", request: goldenMessage("/plain/1", "", "body"), prepare: func(front *Front, _ *fakeMessages) { front.bodies.limitBytes = 3 }},
		{name: "not kept", request: goldenMessage("/plain/1", "", ""), prepare: goldenPutFails(trace.Wrap(notStored))},
		{name: "not kept, deadline named", request: goldenMessage("/plain/1", "X-Deadline-Ms: 800\r\n", ""), prepare: goldenPutFails(notStored)},
		{name: "not kept, short deadline", request: goldenMessage("/plain/1", "X-Deadline-Ms: 10\r\n", ""), prepare: goldenPutFails(notStored)},
		{name: "not kept, long deadline", request: goldenMessage("/plain/1", "X-Deadline-Ms: 1e12\r\n", ""), prepare: goldenPutFails(notStored)},
		{name: "outcome unknown", request: goldenMessage("/plain/1", "", ""), prepare: goldenPutFails(errors.New("answer lost"))},
		{name: "outcome unknown at the deadline", request: goldenMessage("/plain/1", "X-Deadline-Ms: 700\r\n", ""), prepare: goldenSlow},
	}
}

func goldenQueries() []goldenExchange {
	state := goldenRequest(http.MethodGet, "/api/message/0-1.x_Y", "", "")
	body := goldenRequest(http.MethodGet, "/api/message-body/0-1", "", "")
	return []goldenExchange{
		{name: "queued", request: state},
		{name: "completed", request: state, prepare: goldenOutcome(message.Outcome{State: message.Completed, Stamp: "3e.1<"})},
		{name: "dead letter", request: state, prepare: goldenOutcome(message.Outcome{State: message.DeadLetter})},
		{name: "queued, draining", request: state, prepare: goldenDraining},
		{name: "unknown message", request: state, prepare: goldenQueryFails(trace.Wrap(message.ErrNotFound))},
		{name: "malformed id", request: goldenRequest(http.MethodGet, "/api/message/a%20b", "", "")},
		{name: "unreachable", request: state, prepare: goldenQueryFails(errors.New("isolated"))},
		{name: "too slow", request: state, prepare: goldenSlow},
		{name: "other method", request: goldenRequest(http.MethodDelete, "/api/message/0-1", "", "")},
		{name: "body", request: body, prepare: func(_ *Front, messages *fakeMessages) { messages.content = []byte("bytes\x00\xff") }},
		{name: "empty body", request: body},
		{name: "body of an unknown message", request: body, prepare: goldenQueryFails(message.ErrNotFound)},
		{name: "body not kept", request: body, prepare: goldenQueryFails(message.ErrBodyNotFound)},
		{name: "body unreachable", request: body, prepare: goldenQueryFails(errors.New("isolated"))},
	}
}

func TestGoldenSubmissions(t *testing.T) {
	assertGoldenExchanges(t, goldenSubmissions(), "submissions.txt")
}

func TestGoldenQueries(t *testing.T) { assertGoldenExchanges(t, goldenQueries(), "queries.txt") }

func assertGoldenExchanges(t *testing.T, exchanges []goldenExchange, file string) {
	t.Helper()
	var report bytes.Buffer
	for _, exchange := range exchanges {
		synctest.Test(t, func(t *testing.T) {
			front, messages := newTestFront(t)
			if exchange.prepare != nil {
				exchange.prepare(front, messages)
			}
			fmt.Fprintf(&report, "## %s\n", exchange.name)
			serveGolden(t, &report, exchange, func(ctx context.Context, listener net.Listener) {
				_ = front.Serve(ctx, listener)
			})
			for _, put := range messages.recorded() {
				submission, err := json.Marshal(put.submission)
				assert.NilError(t, err)
				fmt.Fprintf(&report, "put %s ordered %v body %q within %v\n", submission, put.ordered, put.body, put.timeLeft)
			}
		})
	}
	golden.AssertBytes(t, report.Bytes(), file)
}

// serveGolden sends a request to a server on a simulated network and appends the response to the report.
func serveGolden(t *testing.T, report io.Writer, exchange goldenExchange, serve func(context.Context, net.Listener)) {
	t.Helper()
	simNetwork := simulated.New(1)
	simNetwork.SetDelay(clientIP, frontIP, time.Nanosecond) // too short for any jitter
	listener, err := simNetwork.Host(frontIP).Listen(frontAddress)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		time.Sleep(closeDelay)
	}()
	go serve(ctx, listener)

	connection, err := simNetwork.Host(clientIP).Dial(t.Context(), frontAddress)
	assert.NilError(t, err)
	defer connection.Close()
	if exchange.closesWrite {
		go func() {
			_, _ = io.WriteString(connection, exchange.request)
			_ = connection.(interface{ CloseWrite() error }).CloseWrite()
		}()
	} else {
		go func() { _, _ = io.WriteString(connection, exchange.request) }()
	}
	reportResponse(t, report, connection)
}

// reportResponse reads one HTTP response and writes it to the report as received, without its Date header.
func reportResponse(t *testing.T, report io.Writer, connection io.Reader) {
	t.Helper()
	var raw bytes.Buffer
	response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(connection, &raw)), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	head, rest, found := strings.Cut(raw.String(), "\r\n\r\n")
	assert.Assert(t, found)
	assert.Equal(t, rest, string(body))
	for line := range strings.SplitSeq(head, "\r\n") {
		if !strings.HasPrefix(line, "Date: ") {
			fmt.Fprintf(report, "%s\n", line)
		}
	}
	fmt.Fprintf(report, "closes %v\nbody %q\n", response.Close, body)
}

func TestGoldenOperatorCalls(t *testing.T) {
	const status = `{"error":"the configuration is invalid","findings":[{"place":"version"}]}`
	answers := func(status int, body string) *fakeControl {
		return &fakeControl{answer: cluster.OperatorResponse{Status: status}, body: []byte(body)}
	}
	cases := []struct {
		name    string
		request string
		control *fakeControl
	}{
		{"replace", goldenRequest(http.MethodPost, "/api/config/replace", "Content-Length: 13\r\n", `{"version":1}`), answers(http.StatusOK, "{}")},
		{"update", goldenRequest(http.MethodPost, "/api/config/update", "X-If-Base-Version: 5\r\nContent-Length: 13\r\n", `{"version":6}`), answers(http.StatusConflict, `{"version":7}`)},
		{"invalid", goldenRequest(http.MethodPost, "/api/config/replace", "Content-Length: 2\r\n", "{}"), answers(http.StatusBadRequest, status)},
		{"read", goldenRequest(http.MethodGet, "/api/config/read", "", ""), answers(http.StatusOK, `{"version":7}`)},
		{"read nothing", goldenRequest(http.MethodGet, "/api/config/read", "", ""), answers(http.StatusNoContent, "")},
		{"retire", goldenRequest(http.MethodPost, "/api/retire/store-a%2F1/start", "Content-Length: 17\r\n", `{"duration-s":10}`), answers(http.StatusOK, "{}")},
		{"read retirement", goldenRequest(http.MethodGet, "/api/retire/store-a-1/read?x=1", "", ""), answers(http.StatusOK, `{"done":true}`)},
		{"unknown call", goldenRequest(http.MethodGet, "/api/config/other", "", ""), answers(http.StatusOK, "{}")},
		{"other method", goldenRequest(http.MethodPost, "/api/config/read", "Content-Length: 0\r\n", ""), answers(http.StatusOK, "{}")},
		{"no primary", goldenRequest(http.MethodGet, "/api/config/read", "", ""), &fakeControl{err: errors.New("no primary")}},
		{"no status", goldenRequest(http.MethodGet, "/api/config/read", "", ""), answers(0, "{}")},
		{"body too large", goldenRequest(http.MethodPost, "/api/config/replace", fmt.Sprintf("Content-Length: %d\r\n", 32<<20+1), ""), answers(http.StatusOK, "{}")},
		{"body too slow", goldenRequest(http.MethodPost, "/api/config/replace", "Content-Length: 5\r\n", "abc"), answers(http.StatusOK, "{}")},
	}
	var report bytes.Buffer
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			fmt.Fprintf(&report, "## %s\n", test.name)
			serveGoldenHandler(t, &report, test.request, NewOperatorHandler(Options{Control: test.control}))
			for i, call := range test.control.calls {
				fmt.Fprintf(&report, "call %q %q base %q body %q\n", call.Method, call.Path, call.BaseVersion, test.control.bodies[i])
			}
		})
	}
	golden.AssertBytes(t, report.Bytes(), "operator.txt")
}

func TestGoldenReadiness(t *testing.T) {
	var report bytes.Buffer
	for _, ready := range []bool{true, false} {
		for _, request := range []string{
			goldenRequest(http.MethodGet, "/api/ready", "", ""),
			goldenRequest(http.MethodPost, "/api/ready", "Content-Length: 0\r\n", ""),
			goldenRequest(http.MethodGet, "/other", "", ""),
			goldenRequest(http.MethodGet, "/api//ready", "", ""),
		} {
			synctest.Test(t, func(t *testing.T) {
				line, _, _ := strings.Cut(request, "\r\n")
				fmt.Fprintf(&report, "## %s, ready %v\n", line, ready)
				serveGoldenHandler(t, &report, request, NewReadyHandler(Options{Ready: func() bool { return ready }}))
			})
		}
	}
	golden.AssertBytes(t, report.Bytes(), "readiness.txt")
}

// serveGoldenHandler is serveGolden for a handler that NewServer serves.
func serveGoldenHandler(t *testing.T, report io.Writer, request string, handler http.Handler) {
	t.Helper()
	server := NewServer(handler, zap.NewNop())
	serveGolden(t, report, goldenExchange{request: request}, func(ctx context.Context, listener net.Listener) {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(listener)
	})
}
