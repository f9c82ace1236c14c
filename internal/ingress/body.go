package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// bodyTimeout bounds the reading of a body.
const bodyTimeout = 10 * time.Second

// Answers to requests whose body can't be read. The rest of the body may still be under way, so the connection closes.
var (
	errBodyTooLarge   = &httpError{Status: http.StatusRequestEntityTooLarge, Reason: "body too large", Close: true}
	errBodyTimeout    = &httpError{Status: http.StatusRequestTimeout, Reason: "body too slow", Close: true}
	errBodyIncomplete = &httpError{Status: http.StatusBadRequest, Reason: "body incomplete", Close: true}
	errTooManyBodies  = &httpError{Status: http.StatusServiceUnavailable, Reason: "too many bodies at once", Close: true}
)

// bodyBudget bounds the memory of all bodies of a front.
type bodyBudget struct {
	limitBytes    int64
	reservedBytes atomic.Int64
}

// reserve takes bytes from the budget, or returns false where they are not left.
func (b *bodyBudget) reserve(size int64) bool {
	if b.reservedBytes.Add(size) <= b.limitBytes {
		return true
	}
	b.reservedBytes.Add(-size)
	return false
}

// release gives reserved bytes back.
func (b *bodyBudget) release(size int64) { b.reservedBytes.Add(-size) }

// setBodyDeadline bounds the reading of a body, also where the server reads the rest of one that no handler wants.
func setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// A writer without deadlines is a test's recorder.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
}

// readBody reads a complete body. Its length in bytes is bounded by limit, whether it is announced or not.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *httpError) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := readAnnounced(w, r, limit)
	if err != nil {
		return nil, bodyReadError(err)
	}
	// While the request is worked on, the server watches the connection with a read that must not run out of time.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// readAnnounced reads a body of the announced length, or in chunks where none is announced.
func readAnnounced(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// bodyReadError returns the answer to a request whose body could not be read.
func bodyReadError(err error) *httpError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errBodyTooLarge
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errBodyTimeout
	}
	return errBodyIncomplete
}
