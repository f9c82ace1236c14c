package ingress

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"gladepick/internal/message"
)

func TestStateQueryReturnsOutcome(t *testing.T) {
	cases := []struct {
		outcome message.Outcome
		body    string
	}{
		{message.Outcome{State: message.Queued}, `{"state":"queued"}`},
		{message.Outcome{State: message.Completed, Stamp: "3e.1"}, `{"state":"completed","stamp":"3e.1"}`},
		{message.Outcome{State: message.DeadLetter}, `{"state":"dead_letter"}`},
	}
	for _, test := range cases {
		front, messages := newTestFront(t)
		messages.outcome = test.outcome
		recorder := serve(front.Handler(), newRequest(http.MethodGet, "/api/message/0-1.x_Y", ""))
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.Equal(t, recorder.Header().Get(headerContentType), contentTypeJSON)
		assert.Equal(t, recorder.Body.String(), test.body)
		assert.Equal(t, len(messages.recorded()), 0)
	}
}

func TestBodyQueryReturnsBytes(t *testing.T) {
	for _, content := range []string{"", "bytes\x00\xff", strings.Repeat("long", 10000)} {
		front, messages := newTestFront(t)
		messages.content = []byte(content)
		recorder := serve(front.Handler(), newRequest(http.MethodGet, "/api/message-body/0-1", ""))
		assert.Equal(t, recorder.Code, http.StatusOK)
		assert.Equal(t, recorder.Header().Get(headerContentType), contentTypeBytes)
		assert.Equal(t, recorder.Body.String(), content)
	}
}

func TestQueryErrorDeterminesStatus(t *testing.T) {
	cases := []struct {
		err    error
		status int
	}{
		{trace.Wrap(message.ErrNotFound), http.StatusNotFound},
		{trace.Wrap(message.ErrBodyNotFound), http.StatusNotFound},
		{errors.New("cut off"), http.StatusServiceUnavailable},
	}
	for _, test := range cases {
		front, messages := newTestFront(t)
		messages.err = test.err
		for _, target := range []string{"/api/message/0-1", "/api/message-body/0-1"} {
			recorder := serve(front.Handler(), newRequest(http.MethodGet, target, ""))
			assert.Equal(t, recorder.Code, test.status)
		}
	}
}

func TestMalformedMessageIDIsNotFound(t *testing.T) {
	front, _ := newTestFront(t)
	for _, id := range []string{"a%20b", "a%2Fb", strings.Repeat("x", maxMessageIDLength+1)} {
		recorder := serve(front.Handler(), newRequest(http.MethodGet, "/api/message/"+id, ""))
		assert.Equal(t, recorder.Code, http.StatusNotFound, "id %q", id)
	}
}

func TestQueriesWorkWithoutConfiguration(t *testing.T) {
	front := NewFront(Options{Messages: &fakeMessages{outcome: message.Outcome{State: message.Queued}}})
	recorder := serve(front.Handler(), newRequest(http.MethodGet, "/api/message/0-1", ""))
	assert.Equal(t, recorder.Code, http.StatusOK)
}

func TestQueryFailsAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front, messages := newTestFront(t)
		messages.callTime = time.Minute
		for _, target := range []string{"/api/message/0-1", "/api/message-body/0-1"} {
			start := time.Now()
			recorder := serve(front.Handler(), newRequest(http.MethodGet, target, ""))
			assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
			assert.Equal(t, time.Since(start), queryTimeout)
		}
	})
}
