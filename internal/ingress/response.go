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

// httpError is the answer to a request that can't be served.
type httpError struct {
	Status int
	Reason string // the answer's body, without the line feed that ends it
	Close  bool   // the connection can't be used any further
}

// Error implements error.
func (e *httpError) Error() string { return strconv.Itoa(e.Status) + ": " + e.Reason }

// writeError answers with an error. A 503 says when to retry.
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

// writeBytes answers with a body whose length is announced, also where it is empty.
func writeBytes(w http.ResponseWriter, status int, contentType string, body []byte) {
	header := w.Header()
	header.Set(headerContentType, contentType)
	header.Set(headerContentLength, strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the client has gone.
	_, _ = w.Write(body)
}

// writeJSON answers 200 with a JSON value.
func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(w, &httpError{Status: http.StatusInternalServerError, Reason: "answer can't be encoded"})
		return
	}
	writeBytes(w, http.StatusOK, contentTypeJSON, body)
}
