package operatorcli

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"gotest.tools/v3/assert"

	"gladepick/internal/systemnode/inspection"
)

const sampleConfiguration = `{"version":3,"routes":[{"name":"r","host":"a.example","path-prefix":"/","route-type":"async",` +
	`"timeout-ms":500,"service":"s"}],"services":[{"name":"s","max-connections":4}],"limits":{}}`

// received is a request that a fake front got.
type received struct {
	Line string // method and target
	Host string
	Base string
	Body string
}

// fakeFront answers by method and path, with 404 for all others, and records the requests.
type fakeFront struct {
	address  string
	answers  map[string]answer
	received []received
}

type answer struct {
	status int
	body   string
}

func newFakeFront(t *testing.T, answers map[string]answer) *fakeFront {
	t.Helper()
	front := &fakeFront{answers: answers}
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	front.address = strings.TrimPrefix(server.URL, "http://")
	return front
}

// ServeHTTP implements http.Handler.
func (f *fakeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	line := r.Method + " " + r.RequestURI
	f.received = append(f.received, received{line, r.Host, r.Header.Get(headerBaseVersion), string(body)})
	found, known := f.answers[line]
	if !known {
		found = answer{http.StatusNotFound, `{"error":"nothing here"}`}
	}
	w.WriteHeader(found.status)
	_, _ = io.WriteString(w, found.body)
}

// runCommand carries out a command line and returns what it printed.
func runCommand(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	t.Setenv(AddressVariable, "")
	var out bytes.Buffer
	application := kingpin.New("test", "")
	commands := Register(application, &out)
	selected, err := application.Parse(arguments)
	assert.NilError(t, err)
	err = commands[selected](t.Context())
	return out.String(), err
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func encode(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	assert.NilError(t, err)
	return string(text)
}

func TestStatus(t *testing.T) {
	status := inspection.Status{
		Process: "front-1", Zone: "a", LeaseValid: true, Primary: "front-2", ConfigVersion: 3, TableRevision: 8, Copies: 2,
		Control: 3, Stores: map[string]int{"down": 1, "active": 4}, Workers: 12, WorkersAgeMS: 1250,
		Partitions: inspection.Coverage{Total: 64, Complete: 60, Degraded: 3, Leaderless: 1},
	}
	front := newFakeFront(t, map[string]answer{"GET /api/status": {http.StatusOK, encode(t, status)}})
	out, err := runCommand(t, "status", "--address", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, `answered by      front-1 (a)
state            current
control primary  front-2
control members  3
configuration    3
table            8
copies           2
stores           4 active, 1 down
partitions       64: 60 whole, 3 degraded, 1 without a primary
workers          12, read 1.25s ago
`)
	out, err = runCommand(t, "status", "--address", front.address, "--output", "json")
	assert.NilError(t, err)
	var printed inspection.Status
	assert.NilError(t, json.Unmarshal([]byte(out), &printed))
	assert.DeepEqual(t, printed, status)
}

func TestMembersAndPartitions(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/members": {http.StatusOK, encode(t, []inspection.Member{
			{Name: "front-1", Role: inspection.RoleControl, Address: "10.0.0.1:7000", State: "primary"},
			{Name: "store-1", Role: inspection.RoleStore, Zone: "a", Address: "10.0.0.2:7000", State: "active", Leads: 1, Holds: 2},
		})},
		"GET /api/partitions": {http.StatusOK, encode(t, []inspection.Partition{
			{ID: 0, Epoch: 4, Primary: "store-1", Synced: []string{"store-2", "store-3"}, Copying: []string{"store-4"}},
			{ID: 1, Epoch: 1, PreferredPrimary: "store-2"},
		})},
	})
	out, err := runCommand(t, "members", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, `NAME     ROLE     ZONE  ADDRESS        STATE    LEADS  HOLDS
front-1  control  -     10.0.0.1:7000  primary  -      -
store-1  store    a     10.0.0.2:7000  active   1      2
`)
	out, err = runCommand(t, "partitions", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, `ID  EPOCH  PRIMARY  SYNCED           COPYING  WANTED
0   4      store-1  store-2,store-3  store-4  -
1   1      -        -                -        store-2
`)
}

func TestMetrics(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/metrics":              {http.StatusOK, "a_total 1\n"},
		"GET /api/metrics?node=store+1": {http.StatusOK, "a_total 2\n"},
	})
	out, err := runCommand(t, "metrics", "-a", front.address)
	assert.NilError(t, err)
	assert.Equal(t, out, "a_total 1\n")
	out, err = runCommand(t, "metrics", "-a", front.address, "--node", "store 1")
	assert.NilError(t, err)
	assert.Equal(t, out, "a_total 2\n")
}

func TestConfigPutBuildsOnTheVersionInForce(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"GET /api/config/read":     {http.StatusOK, sampleConfiguration},
		"POST /api/config/replace": {http.StatusOK, "{}"},
	})
	next := strings.ReplaceAll(sampleConfiguration, `"version":3`, `"version":5`)
	out, err := runCommand(t, "config", "put", "-a", front.address, writeFile(t, "next.json", next))
	assert.NilError(t, err)
	assert.Equal(t, out, "version 5 is in force\n")
	assert.DeepEqual(t, front.received[1], received{"POST /api/config/replace", front.address, "3", next})
}

func TestConfigPutOfTheFirstVersionAndOfAnUpdate(t *testing.T) {
	front := newFakeFront(t, map[string]answer{
		"POST /api/config/replace": {http.StatusOK, "{}"},
		"POST /api/config/update":  {http.StatusOK, "{}"},
	})
	_, err := runCommand(t, "config", "put", "-a", front.address, writeFile(t, "first.json", sampleConfiguration))
	assert.NilError(t, err)
	assert.Equal(t, front.received[1].Base, "0")

	update := `{"version":9,"remove":{"routes":["r"]}}`
	_, err = runCommand(t, "config", "put", "--update", "--base", "7", "-a", front.address, writeFile(t, "u.json", update))
	assert.NilError(t, err)
	assert.DeepEqual(t, front.received[2], received{"POST /api/config/update", front.address, "7", update})
}

func TestConfigPutThatIsRefused(t *testing.T) {
	front := newFakeFront(t, map[string]answer{"POST /api/config/replace": {
		http.StatusBadRequest, `{"error":"invalid","findings":[{"place":"routes[0]","problem":"wrong"},{"problem":"bad"}]}`,
	}})
	_, err := runCommand(t, "config", "put", "--base", "0", "-a", front.address, writeFile(t, "c.json", "{}"))
	assert.Equal(t, ExitCode(err), ExitRefused)
	assert.Error(t, err, "400: invalid\nroutes[0]: wrong\nbad")
}

func TestConfigGetAndDiff(t *testing.T) {
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

func TestConfigCheck(t *testing.T) {
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

func TestMessageShow(t *testing.T) {
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

func TestRetire(t *testing.T) {
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

func TestSettingsCheck(t *testing.T) {
	good := writeFile(t, "good.toml", "node = \"store-1\"\nclass = \"store\"\nip = \"10.0.0.1\"\nzone = \"a\"\ninternal-ports = [1, 2]\n")
	out, err := runCommand(t, "settings", "check", good)
	assert.NilError(t, err)
	assert.Equal(t, out, good+" is valid: store-1, class store in zone a\n")

	bad := writeFile(t, "bad.toml", "node = \"store-1\"\ninternal-ports = [1, 2]\n")
	_, err = runCommand(t, "settings", "check", bad)
	assert.Equal(t, ExitCode(err), ExitRefused)
	assert.Error(t, err, bad+" is invalid:\n"+bad+": ip: missing\n"+bad+": zone: missing")

	_, err = runCommand(t, "settings", "check", bad+".missing")
	assert.Equal(t, ExitCode(err), ExitFailed)
}

func TestWrongUse(t *testing.T) {
	t.Setenv(AddressVariable, "")
	for _, arguments := range [][]string{
		{},
		{"nonsense"},
		{"status"},
		{"status", "-a", "x", "--output", "xml"},
		{"retire", "start", "-a", "x"},
	} {
		application := kingpin.New("test", "")
		application.Terminate(nil).UsageWriter(io.Discard)
		Register(application, io.Discard)
		_, err := application.Parse(arguments)
		assert.Assert(t, err != nil, "%q", arguments)
	}
}

func TestEveryCommandHasARunner(t *testing.T) {
	commands := Register(kingpin.New("test", ""), io.Discard)
	for _, name := range []string{
		"status", "members", "partitions", "metrics", "config get", "config put", "config diff", "config check",
		"message show", "settings check", "retire start", "retire show",
	} {
		run := commands[name]
		assert.Assert(t, run != nil, name)
	}
}
