package ingress

import (
	"net/http"

	"github.com/gorilla/mux"
)

// readyPath is the path of the platform's health check.
const readyPath = "/api/ready"

// errNotReady is the response that keeps the platform from sending new connections.
var errNotReady = &httpError{Status: http.StatusServiceUnavailable, Reason: "not ready"}

// NewReadyHandler returns the handler of the readiness listener. Its status depends only on Options.Ready; a process
// with a front passes Front.Ready, which is false while the front drains.
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
