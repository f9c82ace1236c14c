package operatorapi

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/controlplane/placement"
)

// TestRefusedRetireHasHTTPStatus checks the response to a request to retire a store, for each result.
func TestRefusedRetireHasHTTPStatus(t *testing.T) {
	assert.Equal(t, startedResponse(nil).Status, http.StatusOK)
	unknown := startedResponse(placement.ErrUnknownStore)
	assert.Equal(t, unknown.Status, http.StatusNotFound)
	assert.Equal(t, string(unknown.Body), `{"error":"no such store"}`)
	tooFew := startedResponse(&placement.TooFewStoresError{Remaining: 2, Needed: 3})
	assert.Equal(t, tooFew.Status, http.StatusConflict)
	assert.Equal(t, string(tooFew.Body), `{"error":"2 active stores would remain, 3 are needed"}`)
}
