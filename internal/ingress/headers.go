package ingress

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names of the headers that clients and the front use.
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

// Bounds of the time that storing a message may take, from the moment its header has been read.
const (
	defaultPutTimeout = 2 * time.Second // where the client names no deadline
	maxPutTimeout     = 4 * time.Second
	maxClientTimeout  = time.Hour // longer deadlines count as this one
)

// maxDelay is the longest delay that a message may request.
const maxDelay = 365 * 24 * time.Hour

// requestTarget returns the path and query of a request line byte for byte. A target in absolute form (RFC 9112, section
// 3.2.2) loses its scheme and host.
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

// targetPath returns the path of a target.
func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// headerSize returns the bytes of a request line and its header fields on the wire, with one space after each colon.
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

// parseDelay reads X-Delay-Ms; an absent header is no delay.
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

// putTimeout returns the time that X-Deadline-Ms leaves for storing a message. A header that can't be read counts as
// absent.
func putTimeout(deadline string) time.Duration {
	timeout, limited := clientTimeout(deadline)
	if !limited {
		return defaultPutTimeout
	}
	return min(max(timeout, 0), maxPutTimeout)
}

// clientTimeout reads X-Deadline-Ms, and reports whether a client has named its deadline.
func clientTimeout(deadline string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseFloat(deadline, 64)
	if err != nil || math.IsNaN(milliseconds) {
		return 0, false
	}
	limit := float64(maxClientTimeout.Milliseconds())
	milliseconds = min(max(milliseconds, -limit), limit)
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
