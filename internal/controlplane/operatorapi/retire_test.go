package operatorapi

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/controlplane/placement"
)

// TestRefusedRetirementsHaveStatuses checks what an operator is told who orders that a store is to be emptied.
func TestRefusedRetirementsHaveStatuses(t *testing.T) {
	assert.Equal(t, startedResponse(nil).Status, http.StatusOK)
	unknown := startedResponse(placement.ErrUnknownStore)
	assert.Equal(t, unknown.Status, http.StatusNotFound)
	assert.Equal(t, string(unknown.Body), `{"error":"no such store"}`)
	tooFew := startedResponse(&placement.TooFewStoresError{Remaining: 2, Needed: 3})
	assert.Equal(t, tooFew.Status, http.StatusConflict)
	assert.Equal(t, string(tooFew.Body), `{"error":"2 active stores would remain, 3 are needed"}`)
}
