package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
)

const (
	contentTypeJSON  = "application/json"
	contentTypeBytes = "application/octet-stream"
	contentTypeText  = "text/plain; charset=utf-8"

	connectionClose = "close"
)

// httpError is the response to a request that fails.
type httpError struct {
	Status int
	Reason string // the response body without its final line feed
	Close  bool   // the connection closes after the response
}

// Error implements error.
func (e *httpError) Error() string { return strconv.Itoa(e.Status) + ": " + e.Reason }

// writeError writes the response to a request that failed. A 503 without a Retry-After header gets the default one.
func writeError(w http.ResponseWriter, failure *httpError) {
	header := w.Header()
	if failure.Close {
		header.Set(headerConnection, connectionClose)
	}
	if failure.Status == http.StatusServiceUnavailable && header.Get(headerRetryAfter) == "" {
		header.Set(headerRetryAfter, retryAfterSeconds)
	}
	writeBytes(w, failure.Status, contentTypeText, []byte(failure.Reason+"\n"))
}

// writeBytes writes a response with a Content-Length, also if the body is empty.
func writeBytes(w http.ResponseWriter, status int, contentType string, body []byte) {
	header := w.Header()
	header.Set(headerContentType, contentType)
	header.Set(headerContentLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(body)
}

// writeJSON responds with 200 and a JSON value.
func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(w, &httpError{Status: http.StatusInternalServerError, Reason: "answer can't be encoded"})
		return
	}
	writeBytes(w, http.StatusOK, contentTypeJSON, body)
}
