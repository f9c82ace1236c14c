package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadinessFollowsReadyOption(t *testing.T) {
	ready := true
	handler := NewReadyHandler(Options{Ready: func() bool { return ready }})
	get := func(method, path string) int {
		return serve(handler, httptest.NewRequest(method, path, nil)).Code
	}
	assert.Equal(t, get(http.MethodGet, readyPath), http.StatusOK)
	assert.Equal(t, get(http.MethodGet, "/other"), http.StatusNotFound)
	ready = false
	assert.Equal(t, get(http.MethodGet, readyPath), http.StatusServiceUnavailable)
}
