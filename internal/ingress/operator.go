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
	errUnknownCall        = &httpError{Status: http.StatusNotFound, Reason: "unknown call"}
	errControlUnreachable = &httpError{Status: http.StatusServiceUnavailable, Reason: "control plane can't be reached now"}
)

// operatorHandler forwards the operator's calls to the control plane.
type operatorHandler struct {
	control ControlPlane
}

// NewControlHandler returns the handler of the operator's listener.
func NewControlHandler(options Options) http.Handler {
	handler := &operatorHandler{control: options.Control}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Path("/api/config/replace").Methods(http.MethodPost).HandlerFunc(handler.forward)
	router.Path("/api/config/update").Methods(http.MethodPost).HandlerFunc(handler.forward)
	router.Path("/api/config/read").Methods(http.MethodGet).HandlerFunc(handler.forward)
	router.Path("/api/retire/{node}/start").Methods(http.MethodPost).HandlerFunc(handler.forward)
	router.Path("/api/retire/{node}/read").Methods(http.MethodGet).HandlerFunc(handler.forward)
	router.NotFoundHandler = http.HandlerFunc(serveUnknownCall)
	router.MethodNotAllowedHandler = router.NotFoundHandler
	return router
}

// serveUnknownCall answers what is no call of the operator's API.
func serveUnknownCall(w http.ResponseWriter, _ *http.Request) { writeError(w, errUnknownCall) }

// forward answers a call with what the control plane answers.
func (h *operatorHandler) forward(w http.ResponseWriter, r *http.Request) {
	setBodyDeadline(w, r)
	body, failure := readBody(w, r, maxOperatorBodyBytes)
	if failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorTimeout)
	defer cancel()

	response, responseBody, err := h.control.ForwardOperatorRequest(ctx, newOperatorCall(r), body)
	if err != nil || response.Status == 0 {
		writeError(w, errControlUnreachable)
		return
	}
	writeBytes(w, response.Status, contentTypeJSON, responseBody)
}

// newOperatorCall describes a request to the control plane.
func newOperatorCall(r *http.Request) cluster.OperatorRequest {
	return cluster.OperatorRequest{
		Method:      r.Method,
		Path:        r.URL.Path,
		BaseVersion: r.Header.Get(headerBaseVersion),
	}
}
