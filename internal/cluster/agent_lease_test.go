package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaseIsRenewedOnlyAfterSubscribersHaveTheTable guards against a subscriber that acts under a renewed lease by an
// older table than the one in the same response.
func TestLeaseIsRenewedOnlyAfterSubscribersHaveTheTable(t *testing.T) {
	agent, err := NewAgent(AgentOptions{Info: func() NodeInfo { return NodeInfo{} }})
	assert.NilError(t, err)
	notified := 0
	agent.Subscribe(func() {
		notified++
		assert.Assert(t, !agent.LeaseValid(), "the lease was renewed before the subscriber had the table")
		assert.Equal(t, agent.Table().Revision, uint64(7))
	})
	response := &SyncResponse{Table: &Table{Revision: 7}, WorkersAgeMS: -1}
	assert.NilError(t, agent.applyResponse(&SyncRequest{}, response, nil, time.Now()))
	assert.Equal(t, notified, 1)
	assert.Assert(t, agent.LeaseValid())
	none := &SyncResponse{WorkersAgeMS: -1, LeaseAgeMS: NoLease}
	later := time.Now().Add(LeaseDuration)
	assert.NilError(t, agent.applyResponse(&SyncRequest{}, none, nil, later))
	assert.Assert(t, agent.LeaseRemaining() <= LeaseDuration, "a response without a lease must not renew the lease")
}
