package delivery

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// attemptResult is how an attempt ended, as seen by its message.
type attemptResult uint8

const (
	resultCompleted        attemptResult = iota + 1 // the worker completed the message
	resultRejected                                  // the message can never be completed
	resultFailed                                    // the attempt counts as a failure; a later one may succeed
	resultFull                                      // the worker had no capacity: not run
	resultThrottled                                 // the service gets too many requests: not run
	resultRunning                                   // another attempt of the message is still running: not run
	resultMisdirected                               // another worker has the address now: not run
	resultUncertain                                 // the worker may have run the message
	resultTimedOut                                  // the worker may have run the message, or may still run it
	resultDeadlineExceeded                          // the worker stopped at its deadline: it may have run the message
	resultUnreachable                               // no byte was sent
	resultCancelled                                 // cancelled before the first byte
	resultBodyUnreadable                            // the body of the message could not be read
)

// Headers of delivery requests and of their responses.
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

// attemptReport is the result of an attempt and its details.
type attemptReport struct {
	result    attemptResult
	stamp     string        // only with resultCompleted
	ended     bool          // the message has ended with this attempt
	keepAlive time.Duration // time after which the worker closes idle connections; 0 if not stated
}

// processed reports whether a worker has processed the message or is processing it in another attempt.
func (r attemptResult) processed() bool {
	return r == resultCompleted || r == resultRejected || r == resultFailed || r == resultRunning
}

// moduleOutcome returns the outcome that the decision module has for the result. The argument ended says whether the
// message ended with the attempt.
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

// classifyResponse returns the result that the status and the headers of a response state. The caller checks that the
// body is complete. A response that does not name this request may belong to another request, so it does not show that
// this one was processed.
func classifyResponse(response *http.Response, requestID string) attemptReport {
	report := attemptReport{keepAlive: keepAliveOf(response.Header)}
	echoed := response.Header.Get(headerRequestID)
	switch {
	case echoed != "" && echoed != requestID:
		report.result = resultUncertain
	case response.StatusCode >= 200 && response.StatusCode < 300:
		report.stamp = response.Header.Get(headerStamp)
		report.result = resultUncertain
		if report.stamp != "" && echoed == requestID {
			report.result = resultCompleted
		}
	default:
		report.result = classifyFailure(response)
		if report.result.processed() && echoed != requestID {
			report.result = resultUncertain
		}
	}
	return report
}

// classifyFailure returns the result that the status and the headers of an unsuccessful response state.
func classifyFailure(response *http.Response) attemptResult {
	switch response.StatusCode {
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
	case response.Header.Get(headerNotExecuted) != "":
		return resultFull
	case response.StatusCode == http.StatusUnprocessableEntity:
		return resultRejected
	case response.StatusCode == http.StatusInternalServerError:
		return resultFailed
	case response.StatusCode == http.StatusGatewayTimeout:
		return resultDeadlineExceeded
	default:
		return resultUncertain
	}
}

// needsCompleteBody reports whether the result holds only if the response was read to its end.
func (r attemptResult) needsCompleteBody() bool {
	return r == resultCompleted || r == resultRejected || r == resultFailed
}

// keepAliveOf returns the timeout parameter of a Keep-Alive header, or 0 if it is missing or invalid.
func keepAliveOf(header http.Header) time.Duration {
	for parameter := range strings.SplitSeq(header.Get(headerKeepAlive), ",") {
		name, value, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && seconds > 0 && seconds < 3600 {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return 0
}
