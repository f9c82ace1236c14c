package delivery

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// verdict is what an attempt says about its message.
type verdict uint8

const (
	verdictCompleted   verdict = iota + 1 // the worker did it
	verdictRejected                       // it can never be done
	verdictFailed                         // this attempt failed; a later one may succeed
	verdictFull                           // the worker had no room: not run
	verdictThrottled                      // the service gets too much: not run
	verdictRunning                        // another run of the message is at work: not run
	verdictWrongWorker                    // another worker has the address now: not run
	verdictUncertain                      // it may have run
	verdictTimedOut                       // it may have run or run still
	verdictOverdue                        // the worker gave it up at its deadline: it may have run
	verdictUnreachable                    // no byte was sent
	verdictWithdrawn                      // called off before the first byte
	verdictUnreadable                     // the message's body could not be read
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
type result struct {
	verdict   verdict
	stamp     string        // of verdictCompleted
	ended     bool          // the message has ended with this attempt
	keepAlive time.Duration // after which the worker closes idle connections, if it said so
}

// answered tells whether a worker dealt with the message.
func (v verdict) answered() bool {
	return v == verdictCompleted || v == verdictRejected || v == verdictFailed || v == verdictRunning
}

// moduleOutcome is the verdict in the decision module's terms.
func (v verdict) moduleOutcome(ended bool) decision.Outcome {
	switch v {
	case verdictCompleted, verdictRejected:
		return decision.OK
	case verdictFailed:
		if ended {
			return decision.OK
		}
		return decision.Error
	case verdictFull, verdictThrottled:
		return decision.Rejected
	case verdictUncertain:
		return decision.Reset
	case verdictTimedOut, verdictOverdue:
		return decision.TimedOut
	case verdictUnreachable:
		return decision.ConnectFailed
	default:
		return decision.NeverSent
	}
}

// judge reads the verdict from an answer's head. The body is whole or not, which the caller has to see to. An answer that
// does not name this request tells nothing of what became of it: it may be another one's.
func judge(answer *http.Response, requestID string) result {
	judged := result{keepAlive: keepAliveOf(answer.Header)}
	echoed := answer.Header.Get(headerRequestID)
	switch {
	case echoed != "" && echoed != requestID:
		judged.verdict = verdictUncertain
	case answer.StatusCode >= 200 && answer.StatusCode < 300:
		judged.stamp = answer.Header.Get(headerStamp)
		judged.verdict = verdictUncertain
		if judged.stamp != "" && echoed == requestID {
			judged.verdict = verdictCompleted
		}
	default:
		judged.verdict = judgeFailure(answer)
		if judged.verdict.answered() && echoed != requestID {
			judged.verdict = verdictUncertain
		}
	}
	return judged
}

// judgeFailure reads the verdict from the head of an answer that is no success.
func judgeFailure(answer *http.Response) verdict {
	switch answer.StatusCode {
	case http.StatusConflict:
		return verdictRunning
	case http.StatusTooManyRequests:
		return verdictThrottled
	case http.StatusMisdirectedRequest:
		return verdictWrongWorker
	case http.StatusServiceUnavailable:
		return verdictFull
	}
	switch {
	case answer.Header.Get(headerNotExecuted) != "":
		return verdictFull
	case answer.StatusCode == http.StatusUnprocessableEntity:
		return verdictRejected
	case answer.StatusCode == http.StatusInternalServerError:
		return verdictFailed
	case answer.StatusCode == http.StatusGatewayTimeout:
		return verdictOverdue
	default:
		return verdictUncertain
	}
}

// needsWhole tells whether the verdict holds only if the answer was read whole.
func (v verdict) needsWhole() bool {
	return v == verdictCompleted || v == verdictRejected || v == verdictFailed
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
