package controlplane

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/controlplane/placement"
	"gladepick/internal/rpc"
)

// TestRefusedRequestsHaveCodes checks what the caller of a partition request is told.
func TestRefusedRequestsHaveCodes(t *testing.T) {
	plane := &Plane{}
	for kind, code := range map[error]rpc.Code{
		placement.ErrUnknownPartition: rpc.CodeNotFound,
		placement.ErrConflict:         rpc.CodeConflict,
		placement.ErrUnavailable:      rpc.CodeUnavailable,
	} {
		err := plane.callError(&placement.RequestError{Kind: kind, Message: "because"})
		assert.DeepEqual(t, err, &rpc.Error{Code: code, Message: "because"})
	}
	assert.Equal(t, rpc.CodeOf(plane.callError(errOutdated)), rpc.CodeUnavailable)
}

// TestRefusedRetirementsHaveStatuses checks what an operator is told who orders that a store is to be emptied.
func TestRefusedRetirementsHaveStatuses(t *testing.T) {
	assert.Equal(t, startedAnswer(nil).status, http.StatusOK)
	unknown := startedAnswer(placement.ErrUnknownStore)
	assert.Equal(t, unknown.status, http.StatusNotFound)
	assert.Equal(t, string(unknown.body), `{"error":"no such store"}`)
	tooFew := startedAnswer(&placement.TooFewStoresError{Remaining: 2, Needed: 3})
	assert.Equal(t, tooFew.status, http.StatusConflict)
	assert.Equal(t, string(tooFew.body), `{"error":"2 active stores would remain, 3 are needed"}`)
}
