package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// retryAfterSeconds is the value of Retry-After if the client sends no deadline. RFC 9110, section 10.2.3, allows only
// whole seconds, but a pause of 1 s exceeds the deadline of most messages, and another front may accept the message
// immediately.
const retryAfterSeconds = "0.2"

const (
	// retryAfterFraction is the fraction of the client's remaining time after which it should retry. It leaves time for
	// two more attempts, the second one after a longer pause.
	retryAfterFraction = 0.35
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfter      = time.Second
)

// setRetryAfter sets Retry-After on a 503 response by the deadline of the client. It does nothing if the client sent
// none.
func setRetryAfter(w http.ResponseWriter, r *http.Request, failure *httpError, started time.Time) {
	timeout, hasDeadline := clientTimeout(r.Header.Get(headerDeadline))
	if hasDeadline && failure.Status == http.StatusServiceUnavailable {
		w.Header().Set(headerRetryAfter, retryAfterWithin(timeout-time.Since(started)))
	}
}

// retryAfterWithin returns the value of Retry-After, in seconds, for a client with the given time left until its
// deadline.
func retryAfterWithin(left time.Duration) string {
	pause := time.Duration(retryAfterFraction * float64(left))
	pause = min(max(pause, minRetryAfter), maxRetryAfter)
	return strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
}
