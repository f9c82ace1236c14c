package ingress

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// Bounds of the time that keeping a message may take, from the moment its header has been read.
const (
	defaultPutTimeout = 2 * time.Second // where the client names no deadline
	maxPutTimeout     = 4 * time.Second
	maxClientTimeout  = time.Hour // longer deadlines count as this one
)

// maxDelay is the longest delay that a message may ask for.
const maxDelay = 365 * 24 * time.Hour

// Answers to messages that are not taken.
var (
	errNoConfiguration = &requestError{Status: http.StatusServiceUnavailable, Reason: "no configuration yet"}
	errHeaderTooLarge  = &requestError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
	errNoRoute         = &requestError{Status: http.StatusNotFound, Reason: "no route"}
	errNoRequestID     = &requestError{Status: http.StatusBadRequest, Reason: "header " + headerRequestID + " is missing"}
	errBadDelay        = &requestError{Status: http.StatusBadRequest, Reason: "header " + headerDelay + " is not a number of milliseconds"}
	errPastDeadline    = &requestError{Status: http.StatusServiceUnavailable, Reason: "deadline has passed"}
	errNotKept         = &requestError{Status: http.StatusServiceUnavailable, Reason: "not kept"}
	errMaybeKept       = &requestError{Status: http.StatusBadGateway, Reason: "outcome unknown"}
)

// serveMessage takes a message.
func (f *Front) serveMessage(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	setBodyDeadline(w, r)
	id, failure := f.takeMessage(w, r)
	f.announceDrain(w)
	if failure != nil {
		f.countFailure(failure)
		setRetryAfter(w, r, failure, started)
		writeError(w, failure)
		return
	}
	f.counters.Accepted.Add(1)
	w.Header().Set(headerMessageID, id)
	w.WriteHeader(http.StatusAccepted)
}

// setRetryAfter tells a refused client that has named its deadline when to come back.
func setRetryAfter(w http.ResponseWriter, r *http.Request, failure *requestError, started time.Time) {
	timeout, limited := clientTimeout(r.Header.Get(headerDeadline))
	if limited && failure.Status == http.StatusServiceUnavailable {
		w.Header().Set(headerRetryAfter, retryAfterWithin(timeout-time.Since(started)))
	}
}

func (f *Front) takeMessage(w http.ResponseWriter, r *http.Request) (string, *requestError) {
	table := f.options.Configuration()
	if table == nil {
		return "", errNoConfiguration
	}
	if headerSize(r) > table.Limits.MaxHeaderBytes {
		return "", errHeaderTooLarge
	}
	target := requestTarget(r.RequestURI)
	route := table.Match(r.Host, targetPath(target))
	if route == nil {
		return "", errNoRoute
	}
	submission, failure := newSubmission(r, table, route, target)
	if failure != nil {
		return "", failure
	}
	timeout := putTimeout(r.Header.Get(headerDeadline))
	if timeout == 0 {
		return "", errPastDeadline
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	return f.keep(ctx, w, r, keepOrder{submission, route.Ordered, int64(table.Limits.MaxBodyBytes)})
}

// keepOrder is a message that only lacks its body.
type keepOrder struct {
	submission   message.Submission
	ordered      bool
	maxBodyBytes int64
}

// keep reads the body and puts the message.
func (f *Front) keep(ctx context.Context, w http.ResponseWriter, r *http.Request, order keepOrder) (string, *requestError) {
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = order.maxBodyBytes
	}
	if reserved > order.maxBodyBytes {
		return "", errBodyTooLarge
	}
	if !f.bodies.reserve(reserved) {
		return "", errNoMemory
	}
	defer f.bodies.release(reserved)

	body, failure := readBody(w, r, order.maxBodyBytes)
	if failure != nil {
		return "", failure
	}
	id, err := f.options.Messages.Put(ctx, order.submission, order.ordered, body)
	switch {
	case err == nil:
		return id, nil
	case errors.Is(err, message.ErrNotStored):
		return "", errNotKept
	default:
		return "", errMaybeKept
	}
}

func newSubmission(
	r *http.Request, table *configuration.Table, route *configuration.Route, target string,
) (message.Submission, *requestError) {
	requestID := r.Header.Get(headerRequestID)
	if requestID == "" {
		return message.Submission{}, errNoRequestID
	}
	delay, ok := parseDelay(r.Header.Get(headerDelay))
	if !ok {
		return message.Submission{}, errBadDelay
	}
	submission := message.Submission{
		Message: message.Message{
			Route:         route.Name,
			Host:          r.Host,
			Method:        r.Method,
			Target:        target,
			RequestID:     requestID,
			ContentType:   r.Header.Get(headerContentType),
			ConfigVersion: table.Version,
		},
		DelayMS:     delay.Milliseconds(),
		RetentionMS: route.Retention.Milliseconds(),
	}
	if route.Ordered {
		submission.Message.OrderKey = r.Header.Get(headerOrderKey)
	}
	return submission, nil
}

// announceDrain tells the client that its connection closes after this answer, where the front is about to end.
func (f *Front) announceDrain(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set(headerConnection, connectionClose)
	}
}

func (f *Front) countFailure(failure *requestError) {
	switch failure.Status {
	case http.StatusServiceUnavailable:
		f.counters.Rejected.Add(1)
	case http.StatusBadGateway:
		f.counters.OutcomeUnknown.Add(1)
	case http.StatusNotFound:
		f.counters.NoRoute.Add(1)
	default:
		f.counters.Invalid.Add(1)
	}
}

// requestTarget returns the path and query of a request line byte for byte. A target in absolute form loses its scheme
// and host.
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

func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// headerSize returns the size of a request line and its header fields on the wire, with one space after each colon.
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

// putTimeout returns the time that X-Deadline-Ms leaves for keeping a message. A header that can't be read counts as
// absent.
func putTimeout(deadline string) time.Duration {
	timeout, limited := clientTimeout(deadline)
	if !limited {
		return defaultPutTimeout
	}
	return min(max(timeout, 0), maxPutTimeout)
}

// clientTimeout reads X-Deadline-Ms, and tells whether a client has named its deadline.
func clientTimeout(deadline string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseFloat(deadline, 64)
	if err != nil || math.IsNaN(milliseconds) {
		return 0, false
	}
	limit := float64(maxClientTimeout.Milliseconds())
	milliseconds = min(max(milliseconds, -limit), limit)
	return time.Duration(milliseconds * float64(time.Millisecond)), true
}
