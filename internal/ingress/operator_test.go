package ingress

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// fakeControl is a ControlPlane that records the calls and returns the response that the test has set.
type fakeControl struct {
	calls  []cluster.OperatorRequest
	bodies []string
	answer cluster.OperatorResponse
	body   []byte
	err    error
}

func (c *fakeControl) ForwardOperatorRequest(
	_ context.Context, call cluster.OperatorRequest, body []byte,
) (cluster.OperatorResponse, []byte, error) {
	c.calls = append(c.calls, call)
	c.bodies = append(c.bodies, string(body))
	return c.answer, c.body, c.err
}

func TestOperatorCallsAreForwarded(t *testing.T) {
	cases := []struct{ method, path, body string }{
		{http.MethodPost, "/api/config/replace", `{"version":1}`},
		{http.MethodPost, "/api/config/update", `{"version":2}`},
		{http.MethodGet, "/api/config/read", ""},
		{http.MethodPost, "/api/retire/store-a-1/start", `{"duration-s":10}`},
		{http.MethodGet, "/api/retire/store-a-1/read", ""},
	}
	for _, test := range cases {
		control := &fakeControl{answer: cluster.OperatorResponse{Status: http.StatusConflict}, body: []byte(`{}`)}
		request := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
		request.Header.Set(headerBaseVersion, "5")
		recorder := serve(NewOperatorHandler(Options{Control: control}), request)

		assert.Equal(t, recorder.Code, http.StatusConflict)
		assert.Equal(t, recorder.Header().Get(headerContentType), contentTypeJSON)
		assert.Equal(t, recorder.Body.String(), `{}`)
		assert.DeepEqual(t, control.calls, []cluster.OperatorRequest{{Method: test.method, Path: test.path, BaseVersion: "5"}})
		assert.DeepEqual(t, control.bodies, []string{test.body})
	}
}

func TestUnknownOperatorCallIsNotForwarded(t *testing.T) {
	cases := []struct{ method, path string }{
		{http.MethodGet, "/"},
		{http.MethodGet, "/api/config/replace"},
		{http.MethodPost, "/api/config/read"},
		{http.MethodPost, "/api/retire/start"},
		{http.MethodPost, "/plain/1"},
	}
	for _, test := range cases {
		control := &fakeControl{}
		recorder := serve(NewOperatorHandler(Options{Control: control}), httptest.NewRequest(test.method, test.path, nil))
		assert.Equal(t, recorder.Code, http.StatusNotFound)
		assert.Equal(t, len(control.calls), 0)
	}
}

func TestUnreachableControlPlaneIsUnavailable(t *testing.T) {
	for _, control := range []*fakeControl{{err: errors.New("no primary")}, {}} {
		request := httptest.NewRequest(http.MethodGet, "/api/config/read", nil)
		recorder := serve(NewOperatorHandler(Options{Control: control}), request)
		assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	}
}

func TestOversizedOperatorBodyIsRejected(t *testing.T) {
	control := &fakeControl{answer: cluster.OperatorResponse{Status: http.StatusOK}}
	handler := NewOperatorHandler(Options{Control: control})
	largest := make([]byte, maxOperatorBodyBytes)
	for _, length := range []int64{int64(len(largest)), -1} {
		request := httptest.NewRequest(http.MethodPost, "/api/config/replace", bytes.NewReader(largest))
		request.ContentLength = length
		assert.Equal(t, serve(handler, request).Code, http.StatusOK)

		request = httptest.NewRequest(http.MethodPost, "/api/config/replace", bytes.NewReader(append(largest, 'x')))
		if length < 0 {
			request.ContentLength = length
		}
		assert.Equal(t, serve(handler, request).Code, http.StatusRequestEntityTooLarge)
	}
	assert.Equal(t, len(control.calls), 2)
}
