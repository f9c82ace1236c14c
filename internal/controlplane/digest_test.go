package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

func TestDigestsAreAlikeForOneValue(t *testing.T) {
	call := cluster.OperatorRequest{Method: "POST", Path: pathReplace}
	digest := func(base uint64, body string) string {
		value, err := orderDigest(call, base, []byte(body))
		assert.NilError(t, err)
		return value
	}
	first := digest(1, `{"a":90,"b":[1.50,"x"],"big":12345678901234567890}`)
	assert.Equal(t, first, digest(1, ` {"b":[1.5,"x"],"big":12345678901234567890, "a":90.0} `))
	assert.Assert(t, first != digest(2, `{"a":90,"b":[1.5,"x"],"big":12345678901234567890}`))
	assert.Assert(t, first != digest(1, `{"a":90,"b":["x",1.5],"big":12345678901234567890}`))
	assert.Assert(t, first != digest(1, `{"a":90,"b":[1.5,"x"],"big":12345678901234567891}`))
	_, err := orderDigest(call, 1, []byte(`{"a":1} {}`))
	assert.Assert(t, err != nil)
}
