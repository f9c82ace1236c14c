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

// Errors of reading a body.
var (
	errBodyTooLarge = &requestError{Status: http.StatusRequestEntityTooLarge, Reason: "body too large", Close: true}
	errBodyTimeout  = &requestError{Status: http.StatusRequestTimeout, Reason: "body too slow", Close: true}
	errBodyBroken   = &requestError{Status: http.StatusBadRequest, Reason: "body incomplete", Close: true}
	errNoMemory     = &requestError{Status: http.StatusServiceUnavailable, Reason: "too many bodies at once", Close: true}
)

// bodyBudget bounds the memory that bodies take.
type bodyBudget struct {
	limit int64
	held  atomic.Int64
}

// reserve takes bytes from the budget, or returns false where they are not left.
func (b *bodyBudget) reserve(size int64) bool {
	if b.held.Add(size) <= b.limit {
		return true
	}
	b.held.Add(-size)
	return false
}

func (b *bodyBudget) release(size int64) { b.held.Add(-size) }

// setBodyDeadline bounds the reading of a body, also where the server reads the rest of one that no handler wants.
func setBodyDeadline(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// A writer without deadlines is a test's recorder.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
}

// readBody reads a body whole. Its length is bounded by limit, whether it is announced or not.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *requestError) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	body, err := readAnnounced(w, r, limit)
	if err != nil {
		return nil, bodyError(err)
	}
	// While the request is worked on, the server watches the connection with a read that must not run out of time.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func readAnnounced(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

func bodyError(err error) *requestError {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errBodyTooLarge
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errBodyTimeout
	}
	return errBodyBroken
}
