package delivery

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClassifyResponseRequiresMatchingRequestID guards against taking the response to another request for the response
// to this one: a worker may send a second response late, when the connection already carries the next request. It
// classifies responses that name this request, another request, or none.
func TestClassifyResponseRequiresMatchingRequestID(t *testing.T) {
	const requestID = "r-1"
	cases := []struct {
		status      int
		notExecuted bool
		named       attemptResult // if the response names this request
		unnamed     attemptResult // if the response names no request
	}{
		{http.StatusOK, false, resultCompleted, resultUncertain},
		{http.StatusUnprocessableEntity, false, resultRejected, resultUncertain},
		{http.StatusInternalServerError, false, resultFailed, resultUncertain},
		{http.StatusConflict, true, resultRunning, resultUncertain},
		{http.StatusServiceUnavailable, true, resultFull, resultFull},
		{http.StatusTooManyRequests, true, resultThrottled, resultThrottled},
		{http.StatusMisdirectedRequest, true, resultMisdirected, resultMisdirected},
		{http.StatusBadRequest, true, resultFull, resultFull},
		{http.StatusGatewayTimeout, false, resultDeadlineExceeded, resultDeadlineExceeded},
	}
	for _, each := range cases {
		for echoed, wanted := range map[string]attemptResult{requestID: each.named, "": each.unnamed, "r-2": resultUncertain} {
			response := &http.Response{StatusCode: each.status, Header: http.Header{headerStamp: {"stamp"}}}
			if echoed != "" {
				response.Header.Set(headerRequestID, echoed)
			}
			if each.notExecuted {
				response.Header.Set(headerNotExecuted, "1")
			}
			assert.Equal(t, classifyResponse(response, requestID).result, wanted, "%d naming %q", each.status, echoed)
		}
	}
}

func TestInvalidKeepAliveTimeoutIsIgnored(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "timeout=5": 5 * time.Second, "max=3, Timeout = 1.5": 1500 * time.Millisecond,
		"timeout=-1": 0, "timeout=x": 0, "timeout": 0} {
		assert.Equal(t, keepAliveOf(http.Header{headerKeepAlive: {text}}), want, text)
	}
}
