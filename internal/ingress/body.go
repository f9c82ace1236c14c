package ingress

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// bodyTimeout limits the time to read a request body.
const bodyTimeout = 10 * time.Second

// Responses to requests whose body can't be read. The rest of the body may still arrive on the connection, so the
// server closes it.
var (
	errBodyTooLarge   = &httpError{Status: http.StatusRequestEntityTooLarge, Reason: "body too large", Close: true}
	errBodyTimeout    = &httpError{Status: http.StatusRequestTimeout, Reason: "body too slow", Close: true}
	errBodyIncomplete = &httpError{Status: http.StatusBadRequest, Reason: "body incomplete", Close: true}
	errTooManyBodies  = &httpError{Status: http.StatusServiceUnavailable, Reason: "too many bodies at once", Close: true}
)

// bodyBudget limits the memory that all message bodies of a front occupy together.
type bodyBudget struct {
	limitBytes    int64
	reservedBytes atomic.Int64
}

// reserve reserves size bytes if the budget has them left, and reports whether it did.
func (b *bodyBudget) reserve(size int64) bool {
	if b.reservedBytes.Add(size) <= b.limitBytes {
		return true
	}
	b.reservedBytes.Add(-size)
	return false
}

// release returns reserved bytes to the budget.
func (b *bodyBudget) release(size int64) { b.reservedBytes.Add(-size) }

// setBodyDeadline limits the time to read the request body. The deadline also applies when net/http discards the rest
// of a body that no handler has read.
func setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Only the response recorders of tests don't support deadlines.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
}

// readBody reads the whole request body. A body of more than limit bytes fails with errBodyTooLarge, with or without a
// Content-Length.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *httpError) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := readBytes(w, r, limit)
	if err != nil {
		return nil, bodyReadError(err)
	}
	// While the handler runs, net/http reads from the connection in the background to detect its end. That read must
	// not time out, so the deadline is cleared.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// readBytes reads a body of Content-Length bytes, or until the body ends if its length is not announced.
func readBytes(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// bodyReadError returns the response to a request whose body failed to be read with err.
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
