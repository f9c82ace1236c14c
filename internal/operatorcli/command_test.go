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
