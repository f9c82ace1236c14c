package operatorcli

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMessageShowPrintsStateOrBody(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/message/5-a":      {http.StatusOK, `{"state":"completed","stamp":"s.1"}`},
		"GET /api/message-body/5-a": {http.StatusOK, "bytes"},
	})
	out, err := runCommand(t, "message", "show", "-a", front.address, "--host", "a.example", "5-a")
	assert.NilError(t, err)
	assert.Equal(t, out, "ID   STATE      STAMP\n5-a  completed  s.1\n")
	assert.Equal(t, front.received[0].Host, "a.example")

	out, err = runCommand(t, "message", "show", "-a", front.address, "-o", "json", "5-a")
	assert.NilError(t, err)
	assert.Equal(t, out, "{\n  \"id\": \"5-a\",\n  \"state\": \"completed\",\n  \"stamp\": \"s.1\"\n}\n")

	out, err = runCommand(t, "message", "show", "-a", front.address, "--body", "5-a")
	assert.NilError(t, err)
	assert.Equal(t, out, "bytes")

	_, err = runCommand(t, "message", "show", "-a", front.address, "none")
	assert.Equal(t, ExitCode(err), ExitRefused)
	assert.Error(t, err, "404: nothing here")
}
