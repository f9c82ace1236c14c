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
)

const sampleConfiguration = `{"version":3,"routes":[{"name":"r","host":"a.example","path-prefix":"/","route-type":"async",` +
	`"timeout-ms":500,"service":"s"}],"services":[{"name":"s","max-connections":4}],"limits":{}}`

// receivedRequest is a request that a fakeFront received.
type receivedRequest struct {
	Line        string // method and request target
	Host        string
	BaseVersion string
	Body        string
}

// fakeFront is an HTTP server that responds to each method and path with the given answer, and with 404 to all other
// requests. It records the requests.
type fakeFront struct {
	address  string
	answers  map[string]answer
	received []receivedRequest
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
	f.received = append(f.received, receivedRequest{line, r.Host, r.Header.Get(headerBaseVersion), string(body)})
	response, found := f.answers[line]
	if !found {
		response = answer{http.StatusNotFound, `{"error":"nothing here"}`}
	}
	w.WriteHeader(response.status)
	_, _ = io.WriteString(w, response.body)
}

// runCommand runs a command line and returns its output.
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

// writeFile writes a file in a temporary directory and returns its path.
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

func TestInvalidCommandLinesAreRejected(t *testing.T) {
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
