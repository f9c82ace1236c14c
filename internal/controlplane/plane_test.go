package controlplane

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCloudAddressChanges(t *testing.T) {
	plane := &Plane{options: Options{CloudAddress: "10.0.0.9:80"}}
	assert.Equal(t, plane.cloudAddress(), "10.0.0.9:80")
	plane.SetCloudAddress("10.0.0.8:80")
	assert.Equal(t, plane.cloudAddress(), "10.0.0.8:80")
	plane.SetCloudAddress("")
	assert.Equal(t, plane.cloudAddress(), "")
}
