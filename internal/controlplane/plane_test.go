package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPlatformAddressChanges(t *testing.T) {
	plane := &Plane{options: Options{PlatformAddress: "10.0.0.9:80"}}
	assert.Equal(t, plane.platformAddress(), "10.0.0.9:80")
	plane.SetPlatformAddress("10.0.0.8:80")
	assert.Equal(t, plane.platformAddress(), "10.0.0.8:80")
	plane.SetPlatformAddress("")
	assert.Equal(t, plane.platformAddress(), "")
}
