package delivery

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// attemptResult says how an attempt ended for its message.
type attemptResult uint8

const (
	resultCompleted        attemptResult = iota + 1 // the worker did it
	resultRejected                                  // it can never be done
	resultFailed                                    // this attempt failed and is counted; a later one may succeed
	resultFull                                      // the worker had no capacity: not run
	resultThrottled                                 // the service gets too many requests: not run
	resultRunning                                   // another attempt of the message is still running: not run
	resultMisdirected                               // another worker has the address now: not run
	resultUncertain                                 // it may have run
	resultTimedOut                                  // it may have run or run still
	resultDeadlineExceeded                          // the worker gave up at its deadline: it may have run
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

// attemptReport is an attempt's result with its details.
type attemptReport struct {
	result    attemptResult
	stamp     string        // of resultCompleted
	ended     bool          // the message has ended with this attempt
	keepAlive time.Duration // after which the worker closes idle connections, if it said so
}

// answered tells whether a worker dealt with the message.
func (r attemptResult) answered() bool {
	return r == resultCompleted || r == resultRejected || r == resultFailed || r == resultRunning
}

// moduleOutcome is the result in the decision module's terms. Ended tells whether the message has ended with the attempt.
func (r attemptResult) moduleOutcome(ended bool) decision.Outcome {
	switch r {
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

// classifyAnswer reads the result from an answer's head; the caller checks that the body is complete. An answer that does
// not name this request says nothing about it: it may be another one's.
func classifyAnswer(answer *http.Response, requestID string) attemptReport {
	report := attemptReport{keepAlive: keepAliveOf(answer.Header)}
	echoed := answer.Header.Get(headerRequestID)
	switch {
	case echoed != "" && echoed != requestID:
		report.result = resultUncertain
	case answer.StatusCode >= 200 && answer.StatusCode < 300:
		report.stamp = answer.Header.Get(headerStamp)
		report.result = resultUncertain
		if report.stamp != "" && echoed == requestID {
			report.result = resultCompleted
		}
	default:
		report.result = classifyFailure(answer)
		if report.result.answered() && echoed != requestID {
			report.result = resultUncertain
		}
	}
	return report
}

// classifyFailure reads the result from the head of an answer that is not a success.
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

// needsCompleteBody tells whether the result holds only if the answer was read to its end.
func (r attemptResult) needsCompleteBody() bool {
	return r == resultCompleted || r == resultRejected || r == resultFailed
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
