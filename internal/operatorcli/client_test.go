package operatorcli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTestClient returns a client that records its backoff pauses and does not wait. The third pause cancels the
// returned context.
func newTestClient(t *testing.T, addresses ...string) (*Client, context.Context, *[]time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var pauses []time.Duration
	client := NewClient(addresses, nil)
	client.sleep = func(_ context.Context, duration time.Duration) {
		pauses = append(pauses, duration)
		if len(pauses) == 3 {
			cancel()
		}
	}
	return client, ctx, &pauses
}

// serveStatuses starts a front that responds with the given statuses in order and then repeats the last one. It returns
// the front's address.
func serveStatuses(t *testing.T, statuses ...int) string {
	t.Helper()
	next := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(statuses[min(next, len(statuses)-1)])
		next++
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	return strings.TrimPrefix(server.URL, "http://")
}

var sampleRequest = Request{Method: http.MethodGet, Path: "/"}

func TestClientTriesTheNextAddressAfterAFailure(t *testing.T) {
	for _, status := range []int{500, 503, 408, 429} {
		client, ctx, pauses := newTestClient(t, closedAddress(t), serveStatuses(t, status), serveStatuses(t, 200))
		_, err := client.Do(ctx, sampleRequest)
		assert.NilError(t, err)
		assert.Equal(t, len(*pauses), 0)
	}
}

func TestClientRetriesWithExponentialBackoff(t *testing.T) {
	client, ctx, pauses := newTestClient(t, serveStatuses(t, 503, 503, 200))
	_, err := client.Do(ctx, sampleRequest)
	assert.NilError(t, err)
	assert.DeepEqual(t, *pauses, []time.Duration{200 * time.Millisecond, 400 * time.Millisecond})
}

func TestClientReturnsTheFailuresOfAllAddresses(t *testing.T) {
	first, second := serveStatuses(t, 503), serveStatuses(t, 500)
	client, ctx, pauses := newTestClient(t, first, second)
	_, err := client.Do(ctx, sampleRequest)
	assert.ErrorContains(t, err, first+" answered 503")
	assert.ErrorContains(t, err, second+" answered 500")
	assert.Equal(t, ExitCode(err), ExitFailed)
	assert.Equal(t, len(*pauses), 3)
}

func TestClientDoesNotRetryARefusedRequest(t *testing.T) {
	for _, status := range []int{400, 404, 409, 412, 413, 422} {
		client, ctx, pauses := newTestClient(t, serveStatuses(t, status), serveStatuses(t, 200))
		_, err := client.Do(ctx, sampleRequest)
		assert.Equal(t, ExitCode(err), ExitRefused)
		assert.Equal(t, len(*pauses), 0)
	}
}

func TestClientFollowsAtMostTwoRedirectsWithTheBody(t *testing.T) {
	var bodies []string
	target := newFakeFront(t, map[string]answer{"POST /order": {http.StatusOK, "done"}})
	redirectTo := func(location string) string {
		server := httptest.NewServer(http.RedirectHandler("http://"+location+"/order", http.StatusTemporaryRedirect))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	second := redirectTo(target.address)
	post := Request{Method: http.MethodPost, Path: "/order", BaseVersion: "4", Body: []byte("text")}
	client, ctx, _ := newTestClient(t, redirectTo(second))
	body, err := client.Do(ctx, post)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "done")
	for _, request := range target.received {
		bodies = append(bodies, request.BaseVersion+request.Body)
	}
	assert.DeepEqual(t, bodies, []string{"4text"})

	client, ctx, _ = newTestClient(t, redirectTo(redirectTo(second)))
	_, err = client.Do(ctx, post)
	assert.ErrorContains(t, err, "too many redirects")
}
