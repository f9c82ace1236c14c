package ingress

import (
	"net/http"

	"github.com/gorilla/mux"
)

// readyPath is where the platform's health check asks whether the process wants new connections.
const readyPath = "/api/ready"

// errNotReady keeps the platform from sending new connections.
var errNotReady = &httpError{Status: http.StatusServiceUnavailable, Reason: "not ready"}

// NewReadyHandler returns the handler of the readiness listener. It answers by Options.Ready alone; a process that
// drains its front passes Front.Ready there.
func NewReadyHandler(options Options) http.Handler {
	ready := options.withDefaults().Ready
	router := mux.NewRouter()
	router.Path(readyPath).Methods(http.MethodGet).HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			writeError(w, errNotReady)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return router
}
