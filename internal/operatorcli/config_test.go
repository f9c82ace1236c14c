package operatorcli

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestConfigPutSendsTheVersionInForceAsBase(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/config/read":     {http.StatusOK, sampleConfiguration},
		"POST /api/config/replace": {http.StatusOK, "{}"},
	})
	next := strings.ReplaceAll(sampleConfiguration, `"version":3`, `"version":5`)
	out, err := runCommand(t, "config", "put", "-a", front.address, writeFile(t, "next.json", next))
	assert.NilError(t, err)
	assert.Equal(t, out, "version 5 is in force\n")
	assert.DeepEqual(t, front.received[1], receivedRequest{"POST /api/config/replace", front.address, "3", next})
}

func TestConfigPutSendsFirstVersionAndUpdate(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"POST /api/config/replace": {http.StatusOK, "{}"},
		"POST /api/config/update":  {http.StatusOK, "{}"},
	})
	_, err := runCommand(t, "config", "put", "-a", front.address, writeFile(t, "first.json", sampleConfiguration))
	assert.NilError(t, err)
	assert.Equal(t, front.received[1].BaseVersion, "0")

	update := `{"version":9,"remove":{"routes":["r"]}}`
	_, err = runCommand(t, "config", "put", "--update", "--base", "7", "-a", front.address, writeFile(t, "u.json", update))
	assert.NilError(t, err)
	assert.DeepEqual(t, front.received[2], receivedRequest{"POST /api/config/update", front.address, "7", update})
}

func TestRefusedConfigPutReportsFindings(t *testing.T) {
	front := newFakeFront(t, map[string]answer{"POST /api/config/replace": {
		http.StatusBadRequest, `{"error":"invalid","findings":[{"place":"routes[0]","problem":"wrong"},{"problem":"bad"}]}`,
	}})
	_, err := runCommand(t, "config", "put", "--base", "0", "-a", front.address, writeFile(t, "c.json", "{}"))
	assert.Equal(t, ExitCode(err), ExitRefused)
	assert.Error(t, err, "400: invalid\nroutes[0]: wrong\nbad")
}

func TestConfigGetAndDiffPrintTheConfigurationInForce(t *testing.T) {
	front := newFakeFront(t, map[string]answer{"GET /api/config/read": {http.StatusOK, sampleConfiguration}})
	out, err := runCommand(t, "config", "get", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, sampleConfiguration+"\n")

	next := strings.ReplaceAll(sampleConfiguration, "500", "600")
	out, err = runCommand(t, "config", "diff", "-a", front.address, writeFile(t, "next.json", next))
	assert.NilError(t, err)
	assert.Equal(t, out, "route \"r\" changed: timeout-ms 500 -> 600\n")

	out, err = runCommand(t, "config", "diff", "-o", "json", "-a", front.address, writeFile(t, "same.json", sampleConfiguration))
	assert.NilError(t, err)
	assert.Equal(t, out, "[]\n")

	update := `{"version":4,"remove":{"routes":["r"]}}`
	out, err = runCommand(t, "config", "diff", "--update", "-a", front.address, writeFile(t, "update.json", update))
	assert.NilError(t, err)
	assert.Equal(t, out, "version 3 -> 4\nroute \"r\" removed\n")
}

func TestUnknownMembersCauseWarnings(t *testing.T) {
	misspelt := strings.Replace(sampleConfiguration, "{", `{"servces":[],`, 1)
	path := writeFile(t, "misspelt.json", misspelt)
	out, err := runCommand(t, "config", "check", path)
	assert.NilError(t, err)
	assert.Equal(t, out, path+": warning: servces: is not read\n"+path+" is valid: version 3, 1 routes, 1 services\n")

	// The command prints the warnings before it calls a front: this address has no listener.
	out, err = runCommand(t, "config", "put", "--base", "2", "--timeout", "10ms", "-a", "127.0.0.1:1", path)
	assert.Assert(t, err != nil)
	assert.Equal(t, out, path+": warning: servces: is not read\n")
	update := writeFile(t, "update.json", `{"version":4,"upset":{}}`)
	out, err = runCommand(t, "config", "put", "--update", "--base", "3", "--timeout", "10ms", "-a", "127.0.0.1:1", update)
	assert.Assert(t, err != nil)
	assert.Equal(t, out, update+": warning: upset: is not read\n")
}

func TestConfigCheckRejectsInvalidFile(t *testing.T) {
	path := writeFile(t, "good.json", sampleConfiguration)
	out, err := runCommand(t, "config", "check", path)
	assert.NilError(t, err)
	assert.Equal(t, out, path+" is valid: version 3, 1 routes, 1 services\n")

	path = writeFile(t, "bad.json", strings.ReplaceAll(sampleConfiguration, "500", "0"))
	_, err = runCommand(t, "config", "check", path)
	assert.Equal(t, ExitCode(err), ExitRefused)
	assert.Error(t, err, path+" is invalid:\nroutes[0] \"r\" timeout-ms: must be above 0")

	_, err = runCommand(t, "config", "check", path+".missing")
	assert.Equal(t, ExitCode(err), ExitFailed)
}
