package cluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSetSeedsReplacesAllOrNone(t *testing.T) {
	agent, err := NewAgent(AgentOptions{Seeds: []string{"10.0.0.1:8002"}, InternalPort: 7000})
	assert.NilError(t, err)
	assert.NilError(t, agent.SetSeeds([]string{"10.0.0.2:8002", "10.0.0.3:8002"}))
	assert.DeepEqual(t, agent.seedAddresses(), []string{"10.0.0.2:7000", "10.0.0.3:7000"})

	err = agent.SetSeeds([]string{"10.0.0.4:8002", "nowhere", "nobody"})
	assert.ErrorContains(t, err, "nowhere")
	assert.ErrorContains(t, err, "nobody")
	assert.DeepEqual(t, agent.seedAddresses(), []string{"10.0.0.2:7000", "10.0.0.3:7000"})
}
