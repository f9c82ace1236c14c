package operatorcli

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// The response bodies of the front in TestCommandOutputIsUnchanged. They are texts and not encoded values, so that the
// test fails if the JSON name of a field that a command reads changes.
const (
	goldenStatus = `{"process":"front-1","class":"front","zone":"a","leaseValid":true,"primary":"front-2",` +
		`"configVersion":3,"tableRevision":8,"copies":2,"control":3,"stores":{"down":1,"active":4},` +
		`"partitions":{"total":64,"whole":60,"degraded":3,"leaderless":1},"workers":12,"workersAgeMs":1250}`
	goldenStatusWithoutLease = `{"process":"front-1","class":"front","zone":"a","leaseValid":false,"primary":"",` +
		`"configVersion":0,"tableRevision":0,"copies":0,"control":0,"stores":{},` +
		`"partitions":{"total":0,"whole":0,"degraded":0,"leaderless":0},"workers":0,"workersAgeMs":-1}`
	goldenMembers = `[{"name":"front-1","role":"control","zone":"a","address":"10.0.0.1:7000","state":"primary",` +
		`"diskId":"d1","leads":0,"holds":0},{"name":"store-1","role":"store","zone":"","address":"10.0.0.2:7000",` +
		`"state":"active","diskId":"d2","leads":1,"holds":2}]`
	goldenPartitions = `[{"id":0,"epoch":4,"primary":"store-1","synced":["store-2","store-3"],"copying":["store-4"]},` +
		`{"id":1,"epoch":1,"primary":"","synced":[],"copying":[],"wanted":"store-2"}]`
	goldenRefusal = `{"error":"the configuration is invalid","findings":[` +
		`{"place":"routes[0] \"r\" timeout-ms","problem":"must be above 0"},{"problem":"bad"}]}`
)

// goldenAnswers returns the responses of the front in TestCommandOutputIsUnchanged, by method and request target.
func goldenAnswers() map[string]answer {
	return map[string]answer{
		"GET /api/status":                 {http.StatusOK, goldenStatus},
		"GET /api/members":                {http.StatusOK, goldenMembers},
		"GET /api/partitions":             {http.StatusOK, goldenPartitions},
		"GET /api/metrics":                {http.StatusOK, "# HELP a_total A.\n# TYPE a_total counter\na_total 1\n"},
		"GET /api/metrics?node=store%2F1": {http.StatusOK, "a_total 2\n"},
		"GET /api/config/read":            {http.StatusOK, sampleConfiguration},
		"POST /api/config/replace":        {http.StatusOK, "{}"},
		"POST /api/config/update":         {http.StatusPreconditionFailed, `{"error":"version 3 is in force"}`},
		"GET /api/message/5-a":            {http.StatusOK, `{"state":"completed","stamp":"s.1"}`},
		"GET /api/message/6-b":            {http.StatusOK, `{"state":"queued"}`},
		"GET /api/message-body/5-a":       {http.StatusOK, "bytes"},
		"POST /api/retire/store-1/start":  {http.StatusOK, "{}"},
		"POST /api/retire/store-2/start":  {http.StatusConflict, `{"error":"2 active stores would remain"}`},
		"GET /api/retire/store-1/read":    {http.StatusOK, `{"state":"running"}`},
	}
}

// goldenFiles returns the contents of the files that the command lines of TestCommandOutputIsUnchanged read, by name.
func goldenFiles() map[string]string {
	return map[string]string{
		"same.json":     sampleConfiguration,
		"next.json":     strings.NewReplacer(`"version":3`, `"version":5`, "500", "600").Replace(sampleConfiguration),
		"faulty.json":   strings.ReplaceAll(sampleConfiguration, "500", "0"),
		"update.json":   `{"version":4,"remove":{"routes":["r"]}}`,
		"settings.toml": "node = \"store-1\"\nclass = \"store\"\nip = \"10.0.0.1\"\nzone = \"a\"\ninternal-ports = [1, 2]\n",
		"faulty.toml":   "node = 3\ninternal-ports = [1, 2]\n",
	}
}

// goldenCommands are the command lines of TestCommandOutputIsUnchanged. FRONT stands for the address of the front, and
// FILES for the directory of the files.
var goldenCommands = []string{
	"status -a FRONT",
	"status -a FRONT --output json",
	"members -a FRONT",
	"members -a FRONT --output json",
	"partitions -a FRONT",
	"partitions -a FRONT --output json",
	"metrics -a FRONT",
	"metrics -a FRONT --node store/1",
	"metrics -a FRONT --node missing",
	"config get -a FRONT",
	"config put -a FRONT FILES/next.json",
	"config put -a FRONT --base 7 FILES/next.json",
	"config put -a FRONT --update FILES/update.json",
	"config put -a FRONT FILES/missing.json",
	"config diff -a FRONT FILES/next.json",
	"config diff -a FRONT --output json FILES/next.json",
	"config diff -a FRONT FILES/same.json",
	"config diff -a FRONT --output json FILES/same.json",
	"config diff -a FRONT --update FILES/update.json",
	"config diff -a FRONT FILES/faulty.json",
	"config check FILES/next.json",
	"config check FILES/faulty.json",
	"message show -a FRONT 5-a",
	"message show -a FRONT --output json --host a.example 5-a",
	"message show -a FRONT 6-b",
	"message show -a FRONT --output json 6-b",
	"message show -a FRONT --body 5-a",
	"message show -a FRONT 7-c",
	"settings check FILES/settings.toml",
	"settings check FILES/faulty.toml",
	"retire start -a FRONT --duration 1500ms store-1",
	"retire start -a FRONT store-2",
	"retire show -a FRONT store-1",
	"retire show -a FRONT --output json store-1",
	"retire show -a FRONT nobody",
}

// TestCommandOutputIsUnchanged compares the requests and the output of each command byte by byte with those of earlier
// versions. Operators' scripts depend on the output.
func TestCommandOutputIsUnchanged(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	t.Setenv(AddressVariable, "")
	directory := t.TempDir()
	for name, text := range goldenFiles() {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600))
	}
	front := newFakeFront(t, goldenAnswers())
	var transcript bytes.Buffer
	for _, line := range goldenCommands {
		front.received = nil
		expanded := strings.NewReplacer("FRONT", front.address, "FILES", directory).Replace(line)
		output, err := runLine(t, strings.Fields(expanded))
		fmt.Fprintf(&transcript, "$ %s\n%s", line, output)
		if err != nil {
			fmt.Fprintf(&transcript, "error: %s\n", err)
		}
		fmt.Fprintf(&transcript, "(exit code %d)\n", ExitCode(err))
		for _, request := range front.received {
			fmt.Fprintf(&transcript, "(sent %q, host %q, base %q, body %q)\n",
				request.Line, request.Host, request.BaseVersion, request.Body)
		}
		transcript.WriteString("\n")
	}
	text := strings.NewReplacer(front.address, "FRONT", directory, "FILES").Replace(transcript.String())
	golden.Assert(t, text, "commands.golden")
}

// runLine runs a command line, given as its arguments, and returns its output.
func runLine(t *testing.T, arguments []string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	application := kingpin.New("test", "")
	commands := Register(application, &out)
	selected, err := application.Parse(arguments)
	assert.NilError(t, err)
	err = commands[selected](t.Context())
	return out.String(), err
}

// TestRefusalTextsAreUnchanged compares the error texts of failed requests with those of earlier versions. Operators'
// scripts match them.
func TestRefusalTextsAreUnchanged(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	bodies := []struct {
		status int
		body   string
	}{
		{http.StatusBadRequest, goldenRefusal},
		{http.StatusNotFound, "no such store\n"},
		{http.StatusNotFound, ""},
		{http.StatusConflict, "{}"},
		{http.StatusPreconditionFailed, `{"error":"version 3 is in force"}`},
		{http.StatusRequestTimeout, "late\n"},
		{http.StatusTooManyRequests, "busy\n"},
		{http.StatusInternalServerError, " broken \n"},
		{http.StatusServiceUnavailable, ""},
	}
	var transcript bytes.Buffer
	for _, body := range bodies {
		err := responseError("10.0.0.1:7000", body.status, []byte(body.body))
		var refused *RefusedError
		fmt.Fprintf(&transcript, "%d %q\n%s\n(refused %v, exit code %d)\n\n",
			body.status, body.body, err, errors.As(err, &refused), ExitCode(err))
	}
	golden.Assert(t, transcript.String(), "refusals.golden")
}
