package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// retryAfterSeconds is the value of Retry-After where a client names no deadline. The header takes whole seconds (RFC 9110,
// section 10.2.3), and a pause of one second would miss the deadline of most messages, while another front may accept the
// message at once.
const retryAfterSeconds = "0.2"

const (
	// retryAfterFraction is the fraction of its time left after which a client should retry. It leaves room for two more
	// attempts, the second after a longer pause.
	retryAfterFraction = 0.35
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfter      = time.Second
)

// setRetryAfter tells a rejected client that has named its deadline when to retry.
func setRetryAfter(w http.ResponseWriter, r *http.Request, failure *httpError, started time.Time) {
	timeout, limited := clientTimeout(r.Header.Get(headerDeadline))
	if limited && failure.Status == http.StatusServiceUnavailable {
		w.Header().Set(headerRetryAfter, retryAfterWithin(timeout-time.Since(started)))
	}
}

// retryAfterWithin returns the value of Retry-After, in seconds, for a client that has so much time left.
func retryAfterWithin(left time.Duration) string {
	pause := time.Duration(retryAfterFraction * float64(left))
	pause = min(max(pause, minRetryAfter), maxRetryAfter)
	return strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
}
