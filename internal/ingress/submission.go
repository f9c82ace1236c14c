package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gladepick/internal/configuration"
	"gladepick/internal/message"
)

// Responses to messages that are not accepted.
var (
	errNoConfiguration = &httpError{Status: http.StatusServiceUnavailable, Reason: "no configuration yet"}
	errHeaderTooLarge  = &httpError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "header too large"}
	errRouteNotFound   = &httpError{Status: http.StatusNotFound, Reason: "no route"}
	errNoRequestID     = &httpError{Status: http.StatusBadRequest, Reason: "header " + headerRequestID + " is missing"}
	errBadDelay        = &httpError{Status: http.StatusBadRequest, Reason: "header " + headerDelay + " is not a number of milliseconds"}
	errDeadlinePassed  = &httpError{Status: http.StatusServiceUnavailable, Reason: "deadline has passed"}
	errNotStored       = &httpError{Status: http.StatusServiceUnavailable, Reason: "not kept"}
	errOutcomeUnknown  = &httpError{Status: http.StatusBadGateway, Reason: "outcome unknown"}
)

// serveMessage accepts or rejects a message, and counts the outcome.
func (f *Front) serveMessage(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	setBodyDeadline(w, r)
	id, failure := f.acceptMessage(w, r)
	f.announceDrain(w)
	if failure != nil {
		f.counters.countFailure(failure)
		setRetryAfter(w, r, failure, started)
		writeError(w, failure)
		return
	}
	f.counters.Accepted.Add(1)
	w.Header().Set(headerMessageID, id)
	w.WriteHeader(http.StatusAccepted)
}

// checkedMessage is a message with a valid header whose body has not been read yet.
type checkedMessage struct {
	submission   message.Submission
	ordered      bool
	maxBodyBytes int64
}

// acceptMessage checks a message against the configuration and stores it. It returns the message's ID.
func (f *Front) acceptMessage(w http.ResponseWriter, r *http.Request) (string, *httpError) {
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
		return "", errRouteNotFound
	}
	submission, failure := newSubmission(r, table, route, target)
	if failure != nil {
		return "", failure
	}
	timeout := putTimeout(r.Header.Get(headerDeadline))
	if timeout == 0 {
		return "", errDeadlinePassed
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	return f.store(ctx, w, r, checkedMessage{submission, route.Ordered, int64(table.Limits.MaxBodyBytes)})
}

// newSubmission returns the submission that a request's header describes.
func newSubmission(
	r *http.Request, table *configuration.Table, route *configuration.Route, target string,
) (message.Submission, *httpError) {
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
	submission.Message.KeepExactText()
	return submission, nil
}

// store reads the body and stores the message. It returns the message's ID. For a body without a Content-Length it
// reserves the largest size that the body may have.
func (f *Front) store(
	ctx context.Context, w http.ResponseWriter, r *http.Request, checked checkedMessage,
) (string, *httpError) {
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = checked.maxBodyBytes
	}
	if reserved > checked.maxBodyBytes {
		return "", errBodyTooLarge
	}
	if !f.bodies.reserve(reserved) {
		return "", errTooManyBodies
	}
	defer f.bodies.release(reserved)

	body, failure := readBody(w, r, checked.maxBodyBytes)
	if failure != nil {
		return "", failure
	}
	id, err := f.options.Messages.Put(ctx, checked.submission, checked.ordered, body)
	switch {
	case err == nil:
		return id, nil
	case errors.Is(err, message.ErrNotStored):
		return "", errNotStored
	default:
		return "", errOutcomeUnknown
	}
}
