package delivery

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// verdict is what an attempt says about its message.
type attemptResult uint8

const (
	resultCompleted        attemptResult = iota + 1 // the worker did it
	resultRejected                                  // it can never be done
	resultFailed                                    // this attempt failed; a later one may succeed
	resultFull                                      // the worker had no room: not run
	resultThrottled                                 // the service gets too much: not run
	resultRunning                                   // another run of the message is at work: not run
	resultMisdirected                               // another worker has the address now: not run
	resultUncertain                                 // it may have run
	resultTimedOut                                  // it may have run or run still
	resultDeadlineExceeded                          // the worker gave it up at its deadline: it may have run
	resultUnreachable                               // no byte was sent
	resultWithdrawn                                 // called off before the first byte
	resultBodyUnreadable                            // the message's body could not be read
)

// The headers of deliveries and their answers.
const (
	headerRequestID      = "X-Request-Id"
	headerOrderKey       = "X-Order-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerExpectInstance = "X-Expect-Instance"
	headerStamp          = "X-Server-Stamp"
	headerNotExecuted    = "X-Not-Executed"
	headerKeepAlive      = "Keep-Alive"
	headerContentType    = "Content-Type"
	headerUserAgent      = "User-Agent"
)

// result is an attempt's verdict with what belongs to it.
type attemptReport struct {
	result    attemptResult
	stamp     string        // of verdictCompleted
	ended     bool          // the message has ended with this attempt
	keepAlive time.Duration // after which the worker closes idle connections, if it said so
}

// answered tells whether a worker dealt with the message.
func (v attemptResult) answered() bool {
	return v == resultCompleted || v == resultRejected || v == resultFailed || v == resultRunning
}

// moduleOutcome is the verdict in the decision module's terms.
func (v attemptResult) moduleOutcome(ended bool) decision.Outcome {
	switch v {
	case resultCompleted, resultRejected:
		return decision.OK
	case resultFailed:
		if ended {
			return decision.OK
		}
		return decision.Error
	case resultFull, resultThrottled:
		return decision.Rejected
	case resultUncertain:
		return decision.Reset
	case resultTimedOut, resultDeadlineExceeded:
		return decision.TimedOut
	case resultUnreachable:
		return decision.ConnectFailed
	default:
		return decision.NeverSent
	}
}

// judge reads the verdict from an answer's head. The body is whole or not, which the caller has to see to. An answer that
// does not name this request tells nothing of what became of it: it may be another one's.
func classifyAnswer(answer *http.Response, requestID string) attemptReport {
	judged := attemptReport{keepAlive: keepAliveOf(answer.Header)}
	echoed := answer.Header.Get(headerRequestID)
	switch {
	case echoed != "" && echoed != requestID:
		judged.result = resultUncertain
	case answer.StatusCode >= 200 && answer.StatusCode < 300:
		judged.stamp = answer.Header.Get(headerStamp)
		judged.result = resultUncertain
		if judged.stamp != "" && echoed == requestID {
			judged.result = resultCompleted
		}
	default:
		judged.result = classifyFailure(answer)
		if judged.result.answered() && echoed != requestID {
			judged.result = resultUncertain
		}
	}
	return judged
}

// judgeFailure reads the verdict from the head of an answer that is no success.
func classifyFailure(answer *http.Response) attemptResult {
	switch answer.StatusCode {
	case http.StatusConflict:
		return resultRunning
	case http.StatusTooManyRequests:
		return resultThrottled
	case http.StatusMisdirectedRequest:
		return resultMisdirected
	case http.StatusServiceUnavailable:
		return resultFull
	}
	switch {
	case answer.Header.Get(headerNotExecuted) != "":
		return resultFull
	case answer.StatusCode == http.StatusUnprocessableEntity:
		return resultRejected
	case answer.StatusCode == http.StatusInternalServerError:
		return resultFailed
	case answer.StatusCode == http.StatusGatewayTimeout:
		return resultDeadlineExceeded
	default:
		return resultUncertain
	}
}

// needsWhole tells whether the verdict holds only if the answer was read whole.
func (v attemptResult) needsCompleteBody() bool {
	return v == resultCompleted || v == resultRejected || v == resultFailed
}

// keepAliveOf reads the time-out from a Keep-Alive header; 0 where there is none.
func keepAliveOf(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get(headerKeepAlive), ",") {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if span, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && span > 0 && span < 3600 {
			return time.Duration(span * float64(time.Second))
		}
	}
	return 0
}
