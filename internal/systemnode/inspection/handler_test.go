package inspection

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/network/simulated"
	"gladepick/internal/rpc"
)

var sampleCounter = Metric{Name: "sample_total", Kind: Counter, Help: "A sample."}

// newTestHandler returns a handler with sampleTable, and the list of the internal calls that it makes. Each call
// returns callErr. The fallback handler responds with status 418.
func newTestHandler(callErr error) (http.Handler, *[]string) {
	var calls []string
	registry := &Registry{}
	registry.Add(func(samples *Samples) { samples.Add(sampleCounter, 7) })
	call := func(_ context.Context, address, method string) ([]byte, error) {
		calls = append(calls, method+" at "+address)
		return []byte("far_total 1\n"), callErr
	}
	options := Options{Self: self, Snapshots: &fakeSnapshots{table: sampleTable()}, Metrics: registry, Call: call}
	fallback := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }
	return NewHandler(options, http.HandlerFunc(fallback)), &calls
}

func get(handler http.Handler, target string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, target, nil))
	return recorder
}

func TestViewsAreServedAsJSONWithoutCalls(t *testing.T) {
	handler, calls := newTestHandler(nil)
	for _, path := range []string{PathStatus, PathMembers, PathPartitions} {
		response := get(handler, path)
		assert.Equal(t, response.Code, http.StatusOK)
		assert.Equal(t, response.Header().Get("Content-Type"), contentTypeJSON)
	}
	assert.Equal(t, len(*calls), 0)
}

func TestOtherRequestsReachTheFallbackHandler(t *testing.T) {
	handler, _ := newTestHandler(nil)
	assert.Equal(t, get(handler, "/api/config/read").Code, http.StatusTeapot)
	assert.Equal(t, get(handler, "/api/status/").Code, http.StatusTeapot)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, PathStatus, nil))
	assert.Equal(t, recorder.Code, http.StatusTeapot)
}

func TestOwnMetricsAreServedWithoutCalls(t *testing.T) {
	handler, calls := newTestHandler(nil)
	for _, target := range []string{PathMetrics, PathMetrics + "?node=front-1"} {
		response := get(handler, target)
		assert.Equal(t, response.Code, http.StatusOK)
		assert.Equal(t, response.Header().Get("Content-Type"), contentTypeMetrics)
		assert.Equal(t, response.Body.String(),
			"# HELP sample_total A sample.\n# TYPE sample_total counter\nsample_total 7\n")
	}
	assert.Equal(t, len(*calls), 0)
}

func TestMetricsOfAnotherProcessAreFetchedFromIt(t *testing.T) {
	handler, calls := newTestHandler(nil)
	response := get(handler, PathMetrics+"?node=store-2")
	assert.Equal(t, response.Code, http.StatusOK)
	assert.Equal(t, response.Body.String(), "far_total 1\n")
	assert.DeepEqual(t, *calls, []string{"node.metrics at 10.0.0.4:7000"})
}

func TestMetricsOfUnreachableOrUnknownProcess(t *testing.T) {
	handler, _ := newTestHandler(errors.New("refused"))
	assert.Equal(t, get(handler, PathMetrics+"?node=store-2").Code, http.StatusServiceUnavailable)
	assert.Equal(t, get(handler, PathMetrics+"?node=nobody").Code, http.StatusNotFound)
}

func TestMetricsAreFetchedOverTheInternalProtocol(t *testing.T) {
	const address = "10.0.0.4:7000"
	synctest.Test(t, func(t *testing.T) {
		network := simulated.New(1)
		listener, err := network.Host("10.0.0.4").Listen(address)
		assert.NilError(t, err)
		registry := &Registry{}
		registry.Add(func(samples *Samples) { samples.Add(sampleCounter, 3) })
		server := rpc.NewServer(zap.NewNop())
		server.Handle(MethodMetrics, HandleMetrics(registry))
		go func() { _ = server.Serve(listener) }()
		pool := rpc.NewPool(network.Host("10.0.0.1"))
		defer func() {
			pool.Close()
			server.Close()
			time.Sleep(time.Second) // lets the simulated connections close
		}()
		text, err := PoolCaller(pool)(t.Context(), address, MethodMetrics)
		assert.NilError(t, err)
		assert.Equal(t, string(text), string(registry.Text()))
	})
}
