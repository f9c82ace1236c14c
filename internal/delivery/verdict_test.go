package delivery

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestVerdictsOnARunNeedTheRequestsID judges answers that name this request, another one, or none. A worker may send a
// second answer late, when the connection carries the next request.
func TestVerdictsOnARunNeedTheRequestsID(t *testing.T) {
	const requestID = "r-1"
	cases := []struct {
		status      int
		notExecuted bool
		named       verdict // where the answer names this request
		unnamed     verdict // where it names none
	}{
		{http.StatusOK, false, verdictCompleted, verdictUncertain},
		{http.StatusUnprocessableEntity, false, verdictRejected, verdictUncertain},
		{http.StatusInternalServerError, false, verdictFailed, verdictUncertain},
		{http.StatusConflict, true, verdictRunning, verdictUncertain},
		{http.StatusServiceUnavailable, true, verdictFull, verdictFull},
		{http.StatusTooManyRequests, true, verdictThrottled, verdictThrottled},
		{http.StatusMisdirectedRequest, true, verdictWrongWorker, verdictWrongWorker},
		{http.StatusBadRequest, true, verdictFull, verdictFull},
		{http.StatusGatewayTimeout, false, verdictOverdue, verdictOverdue},
	}
	for _, each := range cases {
		for echoed, wanted := range map[string]verdict{requestID: each.named, "": each.unnamed, "r-2": verdictUncertain} {
			answer := &http.Response{StatusCode: each.status, Header: http.Header{headerStamp: {"stamp"}}}
			if echoed != "" {
				answer.Header.Set(headerRequestID, echoed)
			}
			if each.notExecuted {
				answer.Header.Set(headerNotExecuted, "1")
			}
			assert.Equal(t, judge(answer, requestID).verdict, wanted, "%d naming %q", each.status, echoed)
		}
	}
}
