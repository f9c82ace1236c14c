package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"gladepick/internal/cluster"
)

// maxOperatorBodyBytes bounds the body of an operator's call.
const maxOperatorBodyBytes = 32 << 20

// operatorTimeout bounds an operator's call.
const operatorTimeout = 8 * time.Second

// Answers to the operator that don't come from the control plane.
var (
	errUnknownCall = &requestError{Status: http.StatusNotFound, Reason: "unknown call"}
	errNoControl   = &requestError{Status: http.StatusServiceUnavailable, Reason: "control plane can't be reached now"}
)

// controlHandler passes the operator's calls on to the control plane.
type controlHandler struct {
	control ControlPlane
}

// NewControlHandler returns the handler of the operator's listener.
func NewControlHandler(options Options) http.Handler {
	handler := &controlHandler{control: options.Control}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Path("/api/config/replace").Methods(http.MethodPost).HandlerFunc(handler.serveCall)
	router.Path("/api/config/update").Methods(http.MethodPost).HandlerFunc(handler.serveCall)
	router.Path("/api/config/read").Methods(http.MethodGet).HandlerFunc(handler.serveCall)
	router.Path("/api/retire/{node}/start").Methods(http.MethodPost).HandlerFunc(handler.serveCall)
	router.Path("/api/retire/{node}/read").Methods(http.MethodGet).HandlerFunc(handler.serveCall)
	router.NotFoundHandler = http.HandlerFunc(serveUnknownCall)
	router.MethodNotAllowedHandler = router.NotFoundHandler
	return router
}

func serveUnknownCall(w http.ResponseWriter, _ *http.Request) { writeError(w, errUnknownCall) }

func (h *controlHandler) serveCall(w http.ResponseWriter, r *http.Request) {
	setBodyDeadline(w, r)
	body, failure := readBody(w, r, maxOperatorBodyBytes)
	if failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()

	answer, content, err := h.control.Operator(ctx, operatorCall(r), body)
	if err != nil || answer.Status == 0 {
		writeError(w, errNoControl)
		return
	}
	writeBytes(w, answer.Status, contentTypeJSON, content)
}

func operatorCall(r *http.Request) cluster.OperatorCall {
	return cluster.OperatorCall{
		Method: r.Method,
		Path:   r.URL.Path,
		Base:   r.Header.Get(headerBaseVersion),
	}
}
