// These tests run an agent with fake processes in the fake time of synctest, and compare its HTTP responses and the
// output of the commands with testdata/.
package agent_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// newAgent returns an agent with three instances: n0 answers, n1 does not answer, n2 cannot be started.
func newAgent() *agent.Agent {
	conf := &config.Agent{Limits: config.AgentLimits{PollInterval: time.Second, RequestTimeout: 2 * time.Second, RestartBackoff: time.Hour, RestartBackoffMax: time.Hour,
		StableAfter: time.Hour, StopTimeout: 5 * time.Second, ReplyBytes: 1 << 20, RequestBytes: 1 << 10}}
	for i := range 3 {
		conf.Instances = append(conf.Instances, config.Instance{Name: fmt.Sprint("n", i), Listen: fmt.Sprint("127.0.0.1:", i+1)})
	}
	a := agent.New(conf)
	a.StartProcess = func(in config.Instance) (agent.Process, error) {
		if in.Name == "n2" {
			return nil, errors.New("no such program")
		}
		return &process{end: make(chan error, 1)}, nil
	}
	a.FetchCounters = func(_ context.Context, listen string) (counts []dispatch.Count, err error) {
		if listen != "127.0.0.1:1" {
			return nil, errors.New("refused")
		}
		return allCounters(), nil
	}
	return a
}

// TestHTTPResponsesAreUnchanged compares the agent's HTTP responses with testdata/http.txt.
func TestHTTPResponsesAreUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgent()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { a.Run(ctx); close(done) }()
		time.Sleep(1500 * time.Millisecond)
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan bool)}
		served := make(chan error)
		go func() { served <- a.Serve(ctx, l) }()
		var text bytes.Buffer
		for _, request := range []string{"GET /status", "POST /reload?instance=n0", "POST /reload?instance=n1", "POST /reload?instance=n9",
			"POST /drain?instance=n0", "POST /drain?instance=n9", "GET /status", "POST /start?instance=n0", "POST /start", "GET /members?instance=n9",
			"GET /leases?instance=n9", "GET /drain", "GET /other", "PUT /status"} {
			client, server := net.Pipe()
			l.conns <- server
			go io.WriteString(client, request+" HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
			answer, _ := io.ReadAll(client)
			fmt.Fprintf(&text, "== %s ==\n%s\n", request, answer)
			synctest.Wait()
		}
		cancel()
		<-done
		if err := <-served; err != nil {
			t.Error(err)
		}
		golden.AssertBytes(t, text.Bytes(), "http.txt")
	})
}

// pipeListener accepts the connections that a test sends to conns.
type pipeListener struct {
	conns  chan net.Conn
	closed chan bool
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// TestCommandOutputIsUnchanged compares the output and the errors of the commands with testdata/command.txt.
func TestCommandOutputIsUnchanged(t *testing.T) {
	a := newAgent()
	fetched := make(chan bool, 100)
	fetchCounters := a.FetchCounters
	a.FetchCounters = func(ctx context.Context, listen string) ([]dispatch.Count, error) {
		fetched <- true
		return fetchCounters(ctx, listen)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, served := make(chan bool), make(chan error)
	go func() { a.Run(ctx); close(done) }()
	go func() { served <- a.Serve(ctx, l) }()
	for range 4 { // the second fetch begins after the result of the first is stored
		<-fetched
	}
	var text bytes.Buffer
	for _, args := range [][]string{{"status"}, {"status", "n1"}, {"counters"}, {"counters", "n1", "n0"}, {"reload", "n0"}, {"reload", "n1"}, {"reload"},
		{"drain", "n9"}, {"drain"}, {"status", "n9"}, {"start", "n0", "n1"}} {
		fmt.Fprintf(&text, "== %v ==\n", args)
		if err := agent.Command(ctx, &text, l.Addr().String(), args[0], args[1:]); err != nil {
			fmt.Fprintf(&text, "error: %v\n", err)
		}
	}
	names, err := agent.InstanceNames(ctx, l.Addr().String())
	fmt.Fprintf(&text, "== names ==\n%v %v\n", names, err)
	_, err = agent.Query(ctx, l.Addr().String(), "/members", "n9", "")
	fmt.Fprintf(&text, "== members of n9 ==\n%v\n", err)
	cancel()
	<-done
	if err := <-served; err != nil && !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
	golden.AssertBytes(t, text.Bytes(), "command.txt")
}

// A name with characters that have a meaning in URLs must reach the agent unchanged.
func TestNamesAreEscapedInCommands(t *testing.T) {
	const name = "n 1&x=2#3%"
	received := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.FormValue("instance")
		io.WriteString(w, "{}")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	if err := agent.Command(t.Context(), io.Discard, address, "drain", []string{name}); err != nil {
		t.Fatal(err)
	}
	if received != name {
		t.Errorf("the agent received the name %q", received)
	}
}
