package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Names of the headers that clients and the front use.
const (
	headerRequestID   = "X-Request-Id"
	headerDeadline    = "X-Deadline-Ms"
	headerDelay       = "X-Delay-Ms"
	headerOrderKey    = "X-Order-Key"
	headerMessageID   = "X-Message-Id"
	headerBaseVersion = "X-If-Base-Version"
	headerRetryAfter  = "Retry-After"
	headerConnection  = "Connection"
	headerContentType = "Content-Type"
	headerLength      = "Content-Length"
)

const (
	contentTypeJSON  = "application/json"
	contentTypeBytes = "application/octet-stream"
	contentTypeText  = "text/plain; charset=utf-8"

	connectionClose = "close"
)

// retryAfter is the value of Retry-After in a refusal to a client that names no deadline. The header takes whole seconds,
// and a pause of one second would miss the deadline of most messages, while another front may take the message at once.
const retryAfter = "0.2"

const (
	// retryAfterPart is the part of its time left after which a client should come back. It leaves room for two more
	// tries, the second after a longer pause.
	retryAfterPart     = 0.35
	shortestRetryAfter = 20 * time.Millisecond
	longestRetryAfter  = time.Second
)

// retryAfterWithin returns the value of Retry-After for a client that has so much time left.
func retryAfterWithin(left time.Duration) string {
	pause := time.Duration(retryAfterPart * float64(left))
	pause = min(max(pause, shortestRetryAfter), longestRetryAfter)
	return strconv.FormatFloat(pause.Seconds(), 'f', 3, 64)
}

// requestError is the answer to a request that can't be served.
type requestError struct {
	Status int
	Reason string
	Close  bool // the connection can't be used any further
}

// Error implements error.
func (e *requestError) Error() string { return strconv.Itoa(e.Status) + ": " + e.Reason }

// writeError answers with an error. A 503 says when to come back.
func writeError(w http.ResponseWriter, failure *requestError) {
	header := w.Header()
	if failure.Close {
		header.Set(headerConnection, connectionClose)
	}
	if failure.Status == http.StatusServiceUnavailable && header.Get(headerRetryAfter) == "" {
		header.Set(headerRetryAfter, retryAfter)
	}
	writeBytes(w, failure.Status, contentTypeText, []byte(failure.Reason+"\n"))
}

// writeBytes answers with a body whose length is announced, also where it is empty.
func writeBytes(w http.ResponseWriter, status int, contentType string, body []byte) {
	header := w.Header()
	header.Set(headerContentType, contentType)
	header.Set(headerLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the client has gone.
	_, _ = w.Write(body)
}

// writeJSON answers 200 with a JSON value.
func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(w, &requestError{Status: http.StatusInternalServerError, Reason: "answer can't be encoded"})
		return
	}
	writeBytes(w, http.StatusOK, contentTypeJSON, body)
}
