package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"gladepick/internal/message"
)

// Path prefixes of the queries about a message. The message's ID follows the prefix.
const (
	statePathPrefix = "/api/message/"
	bodyPathPrefix  = "/api/message-body/"
)

// queryTimeout limits the time to answer a query. Clients wait 2 s.
const queryTimeout = 1800 * time.Millisecond

// maxMessageIDLength is the largest length of a message ID, in bytes.
const maxMessageIDLength = 64

// Responses to queries that fail.
var (
	errUnknownMessage     = &httpError{Status: http.StatusNotFound, Reason: "unknown message"}
	errBodyNotFound       = &httpError{Status: http.StatusNotFound, Reason: "body not kept"}
	errMessageUnreachable = &httpError{Status: http.StatusServiceUnavailable, Reason: "message can't be reached now"}
)

// stateResponse is the response to a query for a message's state.
type stateResponse struct {
	State message.State `json:"state"`
	Stamp string        `json:"stamp,omitempty"`
}

// isQuery is a matcher of the router. It reports whether a request is a query about a message. A request that matches a
// configured route whose path prefix is at least as long as /api/message/ is a message instead.
func (f *Front) isQuery(r *http.Request, _ *mux.RouteMatch) bool {
	if r.Method != http.MethodGet {
		return false
	}
	route := f.options.Configuration().Match(r.Host, targetPath(requestTarget(r.RequestURI)))
	return route == nil || len(route.PathPrefix) < len(statePathPrefix)
}

// serveState responds with the state of a message.
func (f *Front) serveState(w http.ResponseWriter, r *http.Request) {
	serveQuery(f, w, r, f.options.Messages.State, func(outcome message.Outcome) {
		writeJSON(w, stateResponse(outcome))
	})
}

// serveBody responds with the body of a message.
func (f *Front) serveBody(w http.ResponseWriter, r *http.Request) {
	serveQuery(f, w, r, f.options.Messages.Body, func(body []byte) {
		writeBytes(w, http.StatusOK, contentTypeBytes, body)
	})
}

// serveQuery calls query with the message ID of the request's path, and passes the result to write. If the ID is
// malformed, the message is unknown and query is not called.
func serveQuery[Result any](
	f *Front, w http.ResponseWriter, r *http.Request,
	query func(ctx context.Context, id string) (Result, error), write func(Result),
) {
	f.counters.MessageQueries.Add(1)
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()

	var result Result
	err := message.ErrNotFound
	if id := mux.Vars(r)["id"]; isMessageID(id) {
		result, err = query(ctx, id)
	}
	f.announceDrain(w)
	if err != nil {
		writeError(w, queryError(err))
		return
	}
	write(result)
}

// queryError returns the response to a query that failed with err.
func queryError(err error) *httpError {
	switch {
	case errors.Is(err, message.ErrNotFound):
		return errUnknownMessage
	case errors.Is(err, message.ErrBodyNotFound):
		return errBodyNotFound
	default:
		return errMessageUnreachable
	}
}

// isMessageID reports whether id is a well-formed message ID: 1 to maxMessageIDLength letters, digits, "-", "_" and
// ".".
func isMessageID(id string) bool {
	if id == "" || len(id) > maxMessageIDLength {
		return false
	}
	for i := range len(id) {
		if !isMessageIDByte(id[i]) {
			return false
		}
	}
	return true
}

func isMessageIDByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}
