package operatorapi

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func TestEqualRequestsHaveEqualDigests(t *testing.T) {
	call := cluster.OperatorRequest{Method: "POST", Path: pathReplace}
	digest := func(base uint64, body string) string {
		value, err := requestDigest(call, base, []byte(body))
		assert.NilError(t, err)
		return value
	}
	first := digest(1, `{"a":90,"b":[1.50,"x"],"big":12345678901234567890}`)
	assert.Equal(t, first, digest(1, ` {"b":[1.5,"x"],"big":12345678901234567890, "a":90.0} `))
	assert.Assert(t, first != digest(2, `{"a":90,"b":[1.5,"x"],"big":12345678901234567890}`))
	assert.Assert(t, first != digest(1, `{"a":90,"b":["x",1.5],"big":12345678901234567890}`))
	assert.Assert(t, first != digest(1, `{"a":90,"b":[1.5,"x"],"big":12345678901234567891}`))
	_, err := requestDigest(call, 1, []byte(`{"a":1} {}`))
	assert.Assert(t, err != nil)
}

// TestDigestsStayTheSame compares digests with those that existing logs and snapshots hold.
func TestDigestsStayTheSame(t *testing.T) {
	call := cluster.OperatorRequest{Method: "POST", Path: pathUpdate}
	for body, recorded := range map[string]string{
		`{"version":5,"routes":[],"services":[],"limits":{}}`:      "f2b47376c96fb9c78fee0bcca8cea0f9",
		`{"b":[1.50,9e1,-0.0,1e400],"a":{"<":"\u00e9&"},"c":null}`: "4812260319a7c41394281ef1d738a216",
	} {
		digest, err := requestDigest(call, 12, []byte(body))
		assert.NilError(t, err)
		assert.Equal(t, digest, recorded, body)
	}
}
