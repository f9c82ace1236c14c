package operatorcli

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetireStartAndShow(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"POST /api/retire/store-1/start": {http.StatusOK, "{}"},
		"POST /api/retire/store-2/start": {http.StatusConflict, `{"error":"too few"}`},
		"GET /api/retire/store-1/read":   {http.StatusOK, `{"state":"running"}`},
	})
	out, err := runCommand(t, "retire", "start", "-a", front.address, "--duration", "1500ms", "store-1")
	assert.NilError(t, err)
	assert.Equal(t, out, "store-1 is being emptied\n")
	assert.Equal(t, front.received[0].Body, `{"duration-s":1.5}`)

	out, err = runCommand(t, "retire", "show", "-a", front.address, "store-1")
	assert.NilError(t, err)
	assert.Equal(t, out, "NODE     STATE\nstore-1  running\n")

	_, err = runCommand(t, "retire", "start", "-a", front.address, "store-2")
	assert.Equal(t, ExitCode(err), ExitRefused)
}
