package delivery

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
)

// TestIdleConnectionsDoNotLockOutOtherCallers checks that idle connections are closed once a worker has more callers
// than connections.
func TestIdleConnectionsDoNotLockOutOtherCallers(t *testing.T) {
	cases := []struct {
		connections, callers int
		attempts             int
		keepsIdle            bool
	}{
		{connections: 34, callers: 1, attempts: 3, keepsIdle: true},
		{connections: 34, callers: 30, attempts: 1, keepsIdle: true},
		{connections: 34, callers: 31, attempts: 1},
		{connections: 34, callers: 60, attempts: 1},
		{connections: 0, callers: defaultConnections, attempts: 1, keepsIdle: true},
	}
	target := &endpoint{worker: cluster.Worker{Capacity: 2}, idleTimeout: maxIdleTimeout}
	for _, each := range cases {
		target.setLimit(&configuration.Service{MaxConnections: each.connections}, each.callers, nil)
		assert.Equal(t, target.limit, each.attempts, "%+v", each)
		assert.Equal(t, target.transport.DisableKeepAlives, !each.keepsIdle, "%+v", each)
		assert.Equal(t, target.transport.MaxConnsPerHost, each.attempts, "%+v", each)
	}
}

func TestCollidingWorkerIDsStayDistinct(t *testing.T) {
	endpoints := newEndpointSet(Options{})
	endpoints.byWorkerID[stableHash("i-2")] = endpoints.add("i-1", cluster.Worker{ID: "i-1"})
	assert.Equal(t, endpoints.add("i-2", cluster.Worker{ID: "i-2"}).workerID, stableHash("i-2")+1)
}
