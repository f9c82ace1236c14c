package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"gladepick/internal/message"
)

// Paths of the questions about a message; its ID follows.
const (
	statePathPrefix = "/api/message/"
	bodyPathPrefix  = "/api/message-body/"
)

// statusTimeout bounds the answer to a question about a message. Askers wait two seconds.
const statusTimeout = 1800 * time.Millisecond

// maxMessageIDLength is the length of the longest message ID.
const maxMessageIDLength = 64

// Answers to questions about messages.
var (
	errUnknownMessage = &requestError{Status: http.StatusNotFound, Reason: "unknown message"}
	errNoBody         = &requestError{Status: http.StatusNotFound, Reason: "body not kept"}
	errNoAnswer       = &requestError{Status: http.StatusServiceUnavailable, Reason: "message can't be reached now"}
)

// stateAnswer is the answer to a question about a message's state.
type stateAnswer struct {
	State message.State `json:"state"`
	Stamp string        `json:"stamp,omitempty"`
}

// isStatusCall is a matcher of the router: a question about a message, unless a route of the configuration claims the
// path with a prefix of its own under /api/message/.
func (f *Front) isStatusCall(r *http.Request, _ *mux.RouteMatch) bool {
	if r.Method != http.MethodGet {
		return false
	}
	route := f.options.Configuration().Match(r.Host, targetPath(requestTarget(r.RequestURI)))
	return route == nil || len(route.PathPrefix) < len(statePathPrefix)
}

// serveState answers with a message's state.
func (f *Front) serveState(w http.ResponseWriter, r *http.Request) {
	f.counters.MessageQueries.Add(1)
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()

	outcome, err := f.state(ctx, mux.Vars(r)["id"])
	f.announceDrain(w)
	if err != nil {
		writeError(w, statusError(err))
		return
	}
	writeJSON(w, stateAnswer(outcome))
}

// serveBody answers with a message's body.
func (f *Front) serveBody(w http.ResponseWriter, r *http.Request) {
	f.counters.MessageQueries.Add(1)
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()

	body, err := f.body(ctx, mux.Vars(r)["id"])
	f.announceDrain(w)
	if err != nil {
		writeError(w, statusError(err))
		return
	}
	writeBytes(w, http.StatusOK, contentTypeBytes, body)
}

func (f *Front) state(ctx context.Context, id string) (message.Outcome, error) {
	if !isMessageID(id) {
		return message.Outcome{}, message.ErrNotFound
	}
	return f.options.Messages.State(ctx, id)
}

func (f *Front) body(ctx context.Context, id string) ([]byte, error) {
	if !isMessageID(id) {
		return nil, message.ErrNotFound
	}
	return f.options.Messages.Body(ctx, id)
}

func statusError(err error) *requestError {
	switch {
	case errors.Is(err, message.ErrNotFound):
		return errUnknownMessage
	case errors.Is(err, message.ErrBodyNotFound):
		return errNoBody
	default:
		return errNoAnswer
	}
}

// isMessageID tells whether a text can be a message's ID: letters, digits, "-", "_" and ".".
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
