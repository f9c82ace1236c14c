package cluster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeaseIsRenewedAfterTheTable checks that whoever acts by a lease acts by the table that came with it.
func TestLeaseIsRenewedAfterTheTable(t *testing.T) {
	agent, err := NewAgent(AgentOptions{Info: func() NodeInfo { return NodeInfo{} }})
	assert.NilError(t, err)
	notified := 0
	agent.Subscribe(func() {
		notified++
		assert.Assert(t, !agent.LeaseValid(), "the table has not been passed on yet")
		assert.Equal(t, agent.Table().Revision, uint64(7))
	})
	response := &SyncResponse{Table: &Table{Revision: 7}, WorkersAgeMS: -1}
	assert.NilError(t, agent.accept(&SyncRequest{}, response, nil, time.Now()))
	assert.Equal(t, notified, 1)
	assert.Assert(t, agent.LeaseValid())
	none := &SyncResponse{WorkersAgeMS: -1, LeaseAgeMS: NoLease}
	later := time.Now().Add(LeaseDuration)
	assert.NilError(t, agent.accept(&SyncRequest{}, none, nil, later))
	assert.Assert(t, agent.LeaseRemaining() <= LeaseDuration, "an answer without a lease renews none")
}
