package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestMessageIsStored(t *testing.T) {
	front, messages := newTestFront(t)
	request := newRequest(http.MethodPut, "/plain/a%2Fb//c;x?q=1&q=%20", "hello")
	request.Header.Set(headerDelay, "1500")
	request.Header.Set(headerOrderKey, "k")
	request.Header.Set(headerContentType, "text/x")

	recorder := serve(front.Handler(), request)

	assert.Equal(t, recorder.Code, http.StatusAccepted)
	assert.Equal(t, recorder.Header().Get(headerMessageID), "0-1")
	put := messages.recorded()[0]
	assert.Equal(t, put.body, "hello")
	assert.Equal(t, put.ordered, false)
	assert.DeepEqual(t, put.submission, message.Submission{
		Message: message.Message{
			Route: "plain", Host: testHost, Method: http.MethodPut, Target: "/plain/a%2Fb//c;x?q=1&q=%20",
			RequestID: "r1", ContentType: "text/x", ConfigVersion: 7,
		},
		DelayMS: 1500, RetentionMS: 90000,
	})
	assert.Equal(t, front.Counters().Accepted.Load(), uint64(1))
}

func TestOrderKeyIsKeptOnOrderedRoute(t *testing.T) {
	front, messages := newTestFront(t)
	request := newRequest(http.MethodPost, "/ordered/1", "x")
	request.Header.Set(headerOrderKey, "k")

	recorder := serve(front.Handler(), request)

	assert.Equal(t, recorder.Code, http.StatusAccepted)
	put := messages.recorded()[0]
	assert.Equal(t, put.ordered, true)
	assert.Equal(t, put.submission.Message.OrderKey, "k")
}

func TestMessageBelowQueryPathMatchesItsRoute(t *testing.T) {
	front, messages := newTestFront(t)
	recorder := serve(front.Handler(), newRequest(http.MethodGet, "/api/message/special/1", ""))
	assert.Equal(t, recorder.Code, http.StatusAccepted)
	assert.Equal(t, messages.recorded()[0].submission.Message.Route, "special")
}

func TestMessageIsRejectedWithoutConfiguration(t *testing.T) {
	messages := &fakeMessages{}
	front := NewFront(Options{Messages: messages})
	recorder := serve(front.Handler(), newRequest(http.MethodPost, "/plain/1", "x"))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Equal(t, recorder.Header().Get(headerRetryAfter), retryAfterSeconds)
	assert.Equal(t, len(messages.recorded()), 0)
}

func TestInvalidMessageIsNotStored(t *testing.T) {
	cases := []struct {
		name   string
		target string
		change func(*http.Request)
		status int
	}{
		{"no route", "/other/1", nil, http.StatusNotFound},
		{"path is not cleaned", "/x/../plain/1", nil, http.StatusNotFound},
		{"other host", "/plain/1", func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		{"no request ID", "/plain/1", func(r *http.Request) { r.Header.Del(headerRequestID) }, http.StatusBadRequest},
		{"delay is text", "/plain/1", setHeader(headerDelay, "soon"), http.StatusBadRequest},
		{"delay is negative", "/plain/1", setHeader(headerDelay, "-1"), http.StatusBadRequest},
		{"delay too long", "/plain/1", setHeader(headerDelay, "99999999999999"), http.StatusBadRequest},
		{"deadline has passed", "/plain/1", setHeader(headerDeadline, "0"), http.StatusServiceUnavailable},
		{"header too large", "/plain/1", setHeader("X-Fill", strings.Repeat("f", maxHeader)), http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			front, messages := newTestFront(t)
			request := newRequest(http.MethodPost, test.target, "x")
			if test.change != nil {
				test.change(request)
			}
			recorder := serve(front.Handler(), request)
			assert.Equal(t, recorder.Code, test.status)
			assert.Equal(t, len(messages.recorded()), 0)
		})
	}
}

func setHeader(name, value string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func TestOversizedBodyIsRejected(t *testing.T) {
	cases := []struct {
		size   int
		length int64
		status int
	}{
		{maxBody, maxBody, http.StatusAccepted},
		{maxBody, -1, http.StatusAccepted},
		{maxBody + 1, maxBody + 1, http.StatusRequestEntityTooLarge},
		{maxBody + 1, -1, http.StatusRequestEntityTooLarge},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("size %d, announced %d", test.size, test.length), func(t *testing.T) {
			front, messages := newTestFront(t)
			request := newRequest(http.MethodPost, "/plain/1", strings.Repeat("b", test.size))
			request.ContentLength = test.length
			recorder := serve(front.Handler(), request)
			assert.Equal(t, recorder.Code, test.status)
			accepted := test.status == http.StatusAccepted
			assert.Equal(t, len(messages.recorded()) == 1, accepted)
			assert.Equal(t, recorder.Header().Get(headerConnection) == connectionClose, !accepted)
			assert.Equal(t, front.bodies.reservedBytes.Load(), int64(0))
		})
	}
}

func TestIncompleteBodyIsNotStored(t *testing.T) {
	front, messages := newTestFront(t)
	request := newRequest(http.MethodPost, "/plain/1", "abc")
	request.ContentLength = 5
	recorder := serve(front.Handler(), request)
	assert.Equal(t, recorder.Code, http.StatusBadRequest)
	assert.Equal(t, len(messages.recorded()), 0)
}

func TestMessageIsRejectedIfBodyBudgetIsExhausted(t *testing.T) {
	front, messages := newTestFront(t)
	front.bodies.limitBytes = 10
	recorder := serve(front.Handler(), newRequest(http.MethodPost, "/plain/1", strings.Repeat("b", 11)))
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Equal(t, recorder.Header().Get(headerRetryAfter), retryAfterSeconds)
	assert.Equal(t, len(messages.recorded()), 0)
}

func TestPutErrorDeterminesStatus(t *testing.T) {
	cases := []struct {
		err        error
		status     int
		retryAfter string
	}{
		{trace.Wrap(message.ErrNotStored), http.StatusServiceUnavailable, retryAfterSeconds},
		{fmt.Errorf("%w: no primary", message.ErrNotStored), http.StatusServiceUnavailable, retryAfterSeconds},
		{errors.New("answer lost"), http.StatusBadGateway, ""},
		{io.ErrUnexpectedEOF, http.StatusBadGateway, ""},
	}
	for _, test := range cases {
		t.Run(test.err.Error(), func(t *testing.T) {
			front, messages := newTestFront(t)
			messages.putErr = test.err
			recorder := serve(front.Handler(), newRequest(http.MethodPost, "/plain/1", "x"))
			assert.Equal(t, recorder.Code, test.status)
			assert.Equal(t, recorder.Header().Get(headerRetryAfter), test.retryAfter)
			assert.Equal(t, recorder.Header().Get(headerMessageID), "")
		})
	}
}

// A client that is rejected gets a Retry-After that leaves time for another attempt before its deadline.
func TestRetryAfterIsWithinDeadline(t *testing.T) {
	cases := []struct{ deadline, retryAfter string }{
		{"", retryAfterSeconds},
		{"x", retryAfterSeconds},
		{"800", "0.280"},
		{"10", "0.020"},
		{"1e12", "1.000"},
	}
	for _, test := range cases {
		synctest.Test(t, func(t *testing.T) {
			front, messages := newTestFront(t)
			messages.putErr = message.ErrNotStored
			request := newRequest(http.MethodPost, "/plain/1", "x")
			request.Header.Set(headerDeadline, test.deadline)
			recorder := serve(front.Handler(), request)
			assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
			assert.Equal(t, recorder.Header().Get(headerRetryAfter), test.retryAfter, "deadline %q", test.deadline)
		})
	}
}

func TestPutTimeoutIsWithinLimits(t *testing.T) {
	cases := []struct {
		deadline string
		timeout  time.Duration
	}{
		{"", defaultPutTimeout},
		{"x", defaultPutTimeout},
		{"NaN", defaultPutTimeout},
		{"350", 350 * time.Millisecond},
		{"350.5", 350500 * time.Microsecond},
		{"4001", maxPutTimeout},
		{"1e300", maxPutTimeout},
		{"-1e300", 0},
		{"-5", 0},
		{"0", 0},
	}
	for _, test := range cases {
		assert.Equal(t, putTimeout(test.deadline), test.timeout, "deadline %q", test.deadline)
	}
}

func TestRequestTargetIsKeptByteForByte(t *testing.T) {
	cases := map[string]string{
		"/a?b":                    "/a?b",
		"/a%2f?u=http://x/y":      "/a%2f?u=http://x/y",
		"http://host:80/a%2f?b#c": "/a%2f?b#c",
		"http://host?b=/":         "/?b=/",
		"http://host":             "/",
		"*":                       "*",
		"host:443":                "host:443",
	}
	for requestURI, target := range cases {
		assert.Equal(t, requestTarget(requestURI), target)
	}
}
