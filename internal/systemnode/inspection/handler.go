package inspection

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// Paths of the read-only calls.
const (
	PathStatus     = "/api/status"
	PathMembers    = "/api/members"
	PathPartitions = "/api/partitions"
	PathMetrics    = "/api/metrics"
)

// QueryNode is the query parameter of PathMetrics that names the control member or store whose metrics are requested.
// Without it, the answering process returns its own metrics.
const QueryNode = "node"

// MethodMetrics is the internal call whose response body is the metrics of the called process. The request is empty.
const MethodMetrics = "node.metrics"

// metricsTimeout bounds the call that fetches the metrics of another process.
const metricsTimeout = 2 * time.Second

const (
	contentTypeJSON    = "application/json"
	contentTypeMetrics = "text/plain; version=0.0.4; charset=utf-8"
	contentTypeText    = "text/plain; charset=utf-8"
)

var (
	errUnknownNode = errors.New("no control member or store of this name")
	errNoAnswer    = errors.New("the process can't be reached now")
)

// Caller makes an internal call without a body to the process at an address and returns the body of the response.
type Caller func(ctx context.Context, address, method string) (body []byte, err error)

// PoolCaller returns a Caller that uses the connections of a pool.
func PoolCaller(pool *rpc.Pool) Caller {
	return func(ctx context.Context, address, method string) ([]byte, error) {
		return pool.Get(address).Call(ctx, method, nil, nil, nil)
	}
}

// HandleMetrics returns the handler of MethodMetrics, which serves the metrics of a registry.
func HandleMetrics(registry *Registry) rpc.Handler {
	return func(context.Context, *rpc.Call) (any, []byte, error) {
		return nil, registry.Text(), nil
	}
}

// Options configure a handler of the read-only calls. Self identifies the answering process. Call fetches the metrics
// of another process.
type Options struct {
	Self      cluster.NodeInfo
	Snapshots Snapshots
	Metrics   *Registry
	Call      Caller
}

type handler struct {
	options Options
}

// NewHandler returns a handler of the read-only calls, which are GET requests for the paths above. It passes all other
// requests to fallback, including those for these paths with another method.
func NewHandler(options Options, fallback http.Handler) http.Handler {
	h := &handler{options: options}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Path(PathStatus).Methods(http.MethodGet).HandlerFunc(h.serveStatus)
	router.Path(PathMembers).Methods(http.MethodGet).HandlerFunc(h.serveMembers)
	router.Path(PathPartitions).Methods(http.MethodGet).HandlerFunc(h.servePartitions)
	router.Path(PathMetrics).Methods(http.MethodGet).HandlerFunc(h.serveMetrics)
	router.NotFoundHandler = fallback
	router.MethodNotAllowedHandler = fallback
	return router
}

func (h *handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, NewStatus(h.options.Self, h.options.Snapshots))
}

func (h *handler) serveMembers(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, NewMembers(h.options.Snapshots.Table()))
}

func (h *handler) servePartitions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, NewPartitions(h.options.Snapshots.Table()))
}

func (h *handler) serveMetrics(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get(QueryNode)
	if name == "" || name == h.options.Self.Name {
		write(w, http.StatusOK, contentTypeMetrics, h.options.Metrics.Text())
		return
	}
	address, found := AddressOf(h.options.Snapshots.Table(), name)
	if !found {
		writeError(w, http.StatusNotFound, errUnknownNode)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), metricsTimeout)
	defer cancel()
	text, err := h.options.Call(ctx, address, MethodMetrics)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, errNoAnswer)
		return
	}
	write(w, http.StatusOK, contentTypeMetrics, text)
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err)
		return
	}
	write(w, http.StatusOK, contentTypeJSON, body)
}

func writeError(w http.ResponseWriter, status int, err error) {
	write(w, status, contentTypeText, []byte(err.Error()+"\n"))
}

func write(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a write fails only if the client has disconnected
}
