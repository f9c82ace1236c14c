package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"gladepick/internal/cluster"
)

// maxOperatorBodyBytes is the largest body of an operator call.
const maxOperatorBodyBytes = 32 << 20

// operatorTimeout limits the time that the control plane has to answer an operator call.
const operatorTimeout = 8 * time.Second

// Responses to the operator that don't come from the control plane.
var (
	errUnknownCall        = &httpError{Status: http.StatusNotFound, Reason: "unknown call"}
	errControlUnreachable = &httpError{Status: http.StatusServiceUnavailable, Reason: "control plane can't be reached now"}
)

// operatorHandler forwards operator calls to the control plane.
type operatorHandler struct {
	control ControlPlane
}

// NewOperatorHandler returns the handler of the operator's listener.
func NewOperatorHandler(options Options) http.Handler {
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

// serveUnknownCall responds to requests outside the operator API.
func serveUnknownCall(w http.ResponseWriter, _ *http.Request) { writeError(w, errUnknownCall) }

// forward forwards a call to the control plane and writes its response.
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

// newOperatorCall returns the call to forward for an HTTP request, without its body.
func newOperatorCall(r *http.Request) cluster.OperatorRequest {
	return cluster.OperatorRequest{
		Method:      r.Method,
		Path:        r.URL.Path,
		BaseVersion: r.Header.Get(headerBaseVersion),
	}
}
