package ingress

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names of the request and response headers.
const (
	headerRequestID     = "X-Request-Id"
	headerDeadline      = "X-Deadline-Ms"
	headerDelay         = "X-Delay-Ms"
	headerOrderKey      = "X-Order-Key"
	headerMessageID     = "X-Message-Id"
	headerBaseVersion   = "X-If-Base-Version"
	headerRetryAfter    = "Retry-After"
	headerConnection    = "Connection"
	headerContentType   = "Content-Type"
	headerContentLength = "Content-Length"
)

// Limits of the time to store a message, counted from the end of its header.
const (
	defaultPutTimeout = 2 * time.Second // if the client sends no deadline
	maxPutTimeout     = 4 * time.Second
	maxClientTimeout  = time.Hour // longer deadlines are reduced to it
)

// maxDelay is the longest delay that a message may request.
const maxDelay = 365 * 24 * time.Hour

// requestTarget returns the path and query of a request target, byte for byte as received. It removes the scheme and
// host of a target in absolute form (RFC 9112, section 3.2.2).
func requestTarget(requestURI string) string {
	if strings.HasPrefix(requestURI, "/") {
		return requestURI
	}
	_, rest, absolute := strings.Cut(requestURI, "://")
	if !absolute {
		return requestURI
	}
	start := strings.IndexAny(rest, "/?")
	if start < 0 {
		return "/"
	}
	if rest[start] == '?' {
		return "/" + rest[start:]
	}
	return rest[start:]
}

// targetPath returns a target without its query.
func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// headerSize returns the size in bytes of a request's header on the wire: the request line, the fields with one space
// after each colon, and the empty line at the end.
func headerSize(r *http.Request) int {
	const requestLineExtra, fieldExtra, endExtra = len("  \r\n"), len(": \r\n"), len("\r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + requestLineExtra + endExtra
	size += len("Host") + len(r.Host) + fieldExtra
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldExtra
		}
	}
	return size
}

// parseDelay parses the value of X-Delay-Ms, and reports whether it is valid. An empty value means no delay.
func parseDelay(value string) (time.Duration, bool) {
	if value == "" {
		return 0, true
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds < 0 || milliseconds > maxDelay.Milliseconds() {
		return 0, false
	}
	return time.Duration(milliseconds) * time.Millisecond, true
}

// putTimeout returns the time available to store a message, given the value of X-Deadline-Ms. An invalid value counts
// as absent. The result is 0 if the deadline has passed.
func putTimeout(deadline string) time.Duration {
	timeout, hasDeadline := clientTimeout(deadline)
	if !hasDeadline {
		return defaultPutTimeout
	}
	return min(max(timeout, 0), maxPutTimeout)
}

// clientTimeout parses the value of X-Deadline-Ms, and reports whether it is a valid number. The time-out is negative
// if the deadline has passed.
func clientTimeout(deadline string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseFloat(deadline, 64)
	if err != nil || math.IsNaN(milliseconds) {
		return 0, false
	}
	limit := float64(maxClientTimeout.Milliseconds())
	milliseconds = min(max(milliseconds, -limit), limit)
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
