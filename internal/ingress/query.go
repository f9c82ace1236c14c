package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"gladepick/internal/message"
)

// Paths of the queries about a message; its ID follows.
const (
	statePathPrefix = "/api/message/"
	bodyPathPrefix  = "/api/message-body/"
)

// queryTimeout bounds the answer to a query. Clients wait two seconds.
const queryTimeout = 1800 * time.Millisecond

// maxMessageIDLength is the length of the longest message ID, in bytes.
const maxMessageIDLength = 64

// Answers to queries that fail.
var (
	errUnknownMessage     = &httpError{Status: http.StatusNotFound, Reason: "unknown message"}
	errBodyNotFound       = &httpError{Status: http.StatusNotFound, Reason: "body not kept"}
	errMessageUnreachable = &httpError{Status: http.StatusServiceUnavailable, Reason: "message can't be reached now"}
)

// stateResponse is the answer to a query of a message's state.
type stateResponse struct {
	State message.State `json:"state"`
	Stamp string        `json:"stamp,omitempty"`
}

// isQuery is a matcher of the router: a query about a message, unless a route of the configuration claims the path with a
// prefix of its own under /api/message/.
func (f *Front) isQuery(r *http.Request, _ *mux.RouteMatch) bool {
	if r.Method != http.MethodGet {
		return false
	}
	route := f.options.Configuration().Match(r.Host, targetPath(requestTarget(r.RequestURI)))
	return route == nil || len(route.PathPrefix) < len(statePathPrefix)
}

// serveState answers with a message's state.
func (f *Front) serveState(w http.ResponseWriter, r *http.Request) {
	serveQuery(f, w, r, f.options.Messages.State, func(outcome message.Outcome) {
		writeJSON(w, stateResponse(outcome))
	})
}

// serveBody answers with a message's body.
func (f *Front) serveBody(w http.ResponseWriter, r *http.Request) {
	serveQuery(f, w, r, f.options.Messages.Body, func(body []byte) {
		writeBytes(w, http.StatusOK, contentTypeBytes, body)
	})
}

// serveQuery asks the store about the message that a request names, and writes what it answers. Where the ID can't be one,
// the message is unknown without a call.
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

// queryError returns the answer to a query that failed.
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

// isMessageID reports whether a text can be a message's ID: letters, digits, "-", "_" and ".".
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
