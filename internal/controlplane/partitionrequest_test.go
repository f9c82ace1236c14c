package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/tablemanager"
	"gladepick/internal/rpc"
)

// TestRefusedPartitionRequestsHaveErrorCodes checks the RPC error for each kind of refusal.
func TestRefusedPartitionRequestsHaveErrorCodes(t *testing.T) {
	plane := &Plane{}
	for kind, code := range map[error]rpc.Code{
		placement.ErrUnknownPartition: rpc.CodeNotFound,
		placement.ErrConflict:         rpc.CodeConflict,
		placement.ErrUnavailable:      rpc.CodeUnavailable,
	} {
		err := plane.callError(&placement.RequestError{Kind: kind, Message: "because"})
		assert.DeepEqual(t, err, &rpc.Error{Code: code, Message: "because"})
	}
	assert.Equal(t, rpc.CodeOf(plane.callError(tablemanager.ErrOutdated)), rpc.CodeUnavailable)
}
