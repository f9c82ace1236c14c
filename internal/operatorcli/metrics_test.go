package operatorcli

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMetricsPrintsTheMetricsOfTheNamedNode(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/metrics":              {http.StatusOK, "a_total 1\n"},
		"GET /api/metrics?node=store+1": {http.StatusOK, "a_total 2\n"},
	})
	out, err := runCommand(t, "metrics", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, "a_total 1\n")
	out, err = runCommand(t, "metrics", "-a", front.address, "--node", "store 1")
	assert.NilError(t, err)
	assert.Equal(t, out, "a_total 2\n")
}
