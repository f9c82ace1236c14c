package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/controlplane/workerlist"
	"gladepick/internal/network/simulated"
	"gladepick/internal/systemnode/inspection"
)

const (
	testPort       = 18080
	deliveryTime   = 5 * time.Second  // until an accepted message is completed
	repairTime     = 10 * time.Second // until the system accepts messages after the loss of a store
	connectionsEnd = time.Minute      // until the simulated connections are closed
)

// call sends a request and returns the status, the headers and the body of the response.
func call(t *testing.T, client *http.Client, request *http.Request) (int, http.Header, string) {
	t.Helper()
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header, string(body)
}

func newRequest(t *testing.T, method, address, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	return request
}

// assertDelivered checks that the first front accepts a message and that the second front reports it as completed after
// deliveryTime.
func assertDelivered(t *testing.T, client *http.Client, addresses Addresses, id string) {
	t.Helper()
	message := newRequest(t, http.MethodPost, addresses.Clients[0], RoutePath, "hello")
	message.Host = RouteHost
	message.Header.Set(headerRequestID, id)
	status, header, _ := call(t, client, message)
	assert.Equal(t, status, http.StatusAccepted)
	time.Sleep(deliveryTime)
	query := newRequest(t, http.MethodGet, addresses.Clients[1], "/api/message/"+header.Get("X-Message-Id"), "")
	_, _, state := call(t, client, query)
	assert.Assert(t, strings.Contains(state, `"completed"`), state)
}

// TestDemoDeliversMessagesBeforeAndAfterLossOfAStore starts a complete system. It checks that the system delivers
// messages, that the status and the metrics are correct, and that messages are still delivered after one of three
// stores is lost.
func TestDemoDeliversMessagesBeforeAndAfterLossOfAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulatedNetwork := simulated.New(1)
		options := Options{
			Fronts: 3, Stores: 3, ToleratedLosses: 1, FirstPort: testPort, Directory: t.TempDir(),
			Network: simulatedNetwork.Host,
			Logger:  func(string) (*zap.Logger, error) { return zap.NewNop(), nil },
		}
		ctx, cancel := context.WithCancel(context.Background())
		ready := make(chan Addresses, 1)
		runError := make(chan error, 1)
		go func() { runError <- Run(ctx, options, func(addresses Addresses) { ready <- addresses }) }()
		var addresses Addresses
		select {
		case addresses = <-ready:
		case err := <-runError:
			t.Fatalf("Run returned before the system was ready: %v", err)
		}

		client := workerlist.NewPlatformClient(simulatedNetwork.Host(hostIP))
		assertDelivered(t, client, addresses, "first")

		_, _, text := call(t, client, newRequest(t, http.MethodGet, addresses.Control[2], inspection.PathStatus, ""))
		assert.Assert(t, strings.Contains(text, `"stores":{"active":3}`), text)
		metricsOf := inspection.PathMetrics + "?node=store-2"
		_, _, text = call(t, client, newRequest(t, http.MethodGet, addresses.Control[0], metricsOf, ""))
		for _, sample := range []string{
			"gladepick_lease_valid 1\n", "gladepick_configuration_version 1\n", "gladepick_workers 2\n",
			"gladepick_store_disk_failing 0\n", "gladepick_delivery_service_workers{service=\"echo\"} 2\n",
		} {
			assert.Assert(t, strings.Contains(text, sample), text)
		}
		_, _, text = call(t, client, newRequest(t, http.MethodGet, addresses.Control[0], inspection.PathMetrics, ""))
		assert.Assert(t, strings.Contains(text, `gladepick_ingress_messages_total{result="accepted"} 1`), text)

		simulatedNetwork.PowerOff("127.0.0.42") // the second store
		time.Sleep(repairTime)
		for _, id := range []string{"second", "third", "fourth"} {
			assertDelivered(t, client, addresses, id)
		}

		client.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-runError)
		time.Sleep(connectionsEnd)
	})
}
