package delivery

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRequestTargetIsNotRewritten(t *testing.T) {
	for _, target := range []string{"/", "/a/b", "/a%2Fb?x=1&y=%20", "/a?", "//a/b", "//a//b?q", "//a%2fb?", "/a b\u00e9", "*"} {
		assert.Equal(t, targetURL("10.0.0.1:80", target).RequestURI(), target)
	}
}
