// These tests compare every byte of the answers to clients with the files in testdata/, in synthetic time and on an
// in-memory network. The files record the output of the code; `go test -update` rewrites them.
package clienthttp_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
)

const (
	serverAddress = "127.0.0.1:5000"
	// clientTimeout is longer than every time-out after which the server answers by itself or closes an idle
	// connection.
	clientTimeout = 2 * time.Minute
)

// validRequest is a request with a job that the server accepts.
const validRequest = "POST /enrol HTTP/1.1\r\nHost: b\r\nX-Request-ID: p1\r\nX-Priority-Class: enrol\r\nX-Tenant-Id: univ-gaspesie\r\n" +
	"X-Timeout: 2.5\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\ndone"

// fixedSubmitter answers each job with the same answer, or rejects it with the same error.
type fixedSubmitter struct {
	mu     sync.Mutex
	answer dispatch.Answer
	err    error
}

// set changes the answer or the error for subsequent jobs.
func (f *fixedSubmitter) set(a dispatch.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer, f.err = a, err
}

func (f *fixedSubmitter) Submit(j *dispatch.Job) error {
	f.mu.Lock()
	answer, err := f.answer, f.err
	f.mu.Unlock()
	if err == nil {
		j.Reply(answer)
	}
	return err
}

func (f *fixedSubmitter) Abandon(*dispatch.Job) {}

// nopWatcher is a list watcher that ignores requests.
type nopWatcher struct{}

func (nopWatcher) Watch(bool) {}

// transcript collects the answers to clients, each under the name of its case.
type transcript struct{ bytes.Buffer }

func (tr *transcript) add(name string, answer []byte) {
	fmt.Fprintf(tr, "== %s ==\n%s\n", name, answer)
}

// fixture is a server without workers, on an in-memory network, whose jobs are answered by a fixedSubmitter.
type fixture struct {
	network   testenv.Network
	server    *clienthttp.Server
	submitter fixedSubmitter
}

// newFixture starts a server; change may modify its settings. It must be called in a synctest bubble.
func newFixture(t *testing.T, change func(*config.Node)) *fixture {
	node := testenv.Node(t, nil, "")
	if change != nil {
		change(node)
	}
	core, err := dispatch.New(node, new(dispatch.Counters), nil, nil, nopWatcher{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{server: clienthttp.New(node, core)}
	f.submitter.set(dispatch.Answer{Kind: dispatch.Served, Result: []byte("result of p1")}, nil)
	f.server.Jobs = &f.submitter
	ctx, cancel := context.WithCancel(context.Background())
	go core.Run(ctx)
	go f.server.Serve(f.network.Listen(serverAddress))
	t.Cleanup(func() {
		f.server.Shutdown(context.Background())
		cancel()
		time.Sleep(clientTimeout)
	})
	return f
}

// exchange sends text on a new connection and returns all data received until the server closes the connection or
// clientTimeout passes.
func (f *fixture) exchange(t *testing.T, text string) []byte {
	conn, err := f.network.Dial(context.Background(), serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	go io.WriteString(conn, text)
	conn.SetReadDeadline(time.Now().Add(clientTimeout))
	answer, _ := io.ReadAll(conn)
	conn.Close()
	synctest.Wait()
	return answer
}

func TestAnswerBytesForMalformedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		var answers transcript
		for _, tc := range []struct{ name, from, to string }{
			{"no id", "X-Request-ID: p1\r\n", ""},
			{"two ids", "X-Request-ID: p1\r\n", "X-Request-ID: p1\r\nX-Request-ID: p2\r\n"},
			{"odd id", "p1", "p\xff"},
			{"class and path differ", "/enrol", "/seat-check"},
			{"unknown class", "enrol", "render"},
			{"unknown tenant", "univ-gaspesie", "univ-x"},
			{"no tenant", "X-Tenant-Id: univ-gaspesie\r\n", ""},
			{"no time-out", "X-Timeout: 2.5\r\n", ""},
			{"time-out is a word", "2.5", "soon"},
			{"time-out is negative", "2.5", "-1"},
			{"time-out is infinite", "2.5", "Inf"},
			{"time-out is too long", "2.5", "99999999999"},
			{"no key", "Idempotency-Key: k\r\n", ""},
			{"key too long", "Key: k", "Key: " + strings.Repeat("k", 257)},
			{"attribute is no number", "X-Timeout", "X-Attrs: slots=many\r\nX-Timeout"},
			{"method", "POST", "PUT"},
			{"absolute target", "POST /enrol", "POST http://h/enrol"},
			{"body cut off", "Content-Length: 4", "Content-Length: 5"},
			{"length is no number", "Content-Length: 4", "Content-Length: x"},
			{"length is empty", "Content-Length: 4", "Content-Length:"},
			{"two lengths", "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 4"},
			{"length too large", "Content-Length: 4", "Content-Length: 65537"},
			{"length out of range", "Content-Length: 4", "Content-Length: 99999999999999999999"},
			{"length and coding", "Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"},
			{"unknown coding", "Content-Length: 4", "Transfer-Encoding: gzip, chunked"},
			{"two codings", "Content-Length: 4", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"},
			{"coding in HTTP/1.0", "HTTP/1.1\r\nHost: b\r\n", "HTTP/1.0\r\nHost: b\r\nTransfer-Encoding: chunked\r\n"},
			{"head too large", "Host: b", "Host: b\r\nX-Long: " + strings.Repeat("x", 40<<10)},
			{"head never ends", "\r\n\r\ndone", "\r\nX-More: "},
			{"no request", validRequest, "\x16\x03\x01 hello"},
			{"request line", "POST /enrol HTTP/1.1", "POST /enrol"},
			{"unknown version", "HTTP/1.1", "HTTP/2.0"},
			{"folded line", "Host: b", "Host: b\r\nX-Long: a\r\n b"},
			{"space in a name", "X-Timeout:", "X-Timeout :"},
			{"bare line end", "Host: b\r\n", "Host: b\n"},
			{"control character", "Host: b", "Host: b\x00"},
		} {
			answers.add(tc.name, f.exchange(t, strings.ReplaceAll(validRequest, tc.from, tc.to)))
		}
		chunked := "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 65537) + "\r\n0\r\n\r\n"
		answers.add("chunks too large", f.exchange(t, strings.Replace(validRequest, "Content-Length: 4\r\n\r\ndone", chunked, 1)))
		golden.AssertBytes(t, answers.Bytes(), "no_job.http")
	})
}

func TestAnswerBytesForJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		var answers transcript
		chunked := strings.Replace(validRequest, "Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", 1)
		answers.add("served", f.exchange(t, validRequest))
		answers.add("served, in chunks", f.exchange(t, chunked))
		answers.add("served, two on one connection", f.exchange(t, validRequest+validRequest))
		answers.add("served, HTTP/1.0", f.exchange(t, strings.Replace(validRequest, "HTTP/1.1", "HTTP/1.0", 1)))
		f.submitter.set(dispatch.Answer{Kind: dispatch.Served}, nil)
		answers.add("served, empty result", f.exchange(t, validRequest))
		f.submitter.set(dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: 1250 * time.Millisecond}, nil)
		answers.add("refused", f.exchange(t, validRequest))
		f.submitter.set(dispatch.Answer{Kind: dispatch.Failed}, nil)
		answers.add("failed", f.exchange(t, validRequest))
		f.submitter.set(dispatch.Answer{}, dispatch.ErrBusy)
		answers.add("too many open jobs", f.exchange(t, validRequest))
		f.submitter.set(dispatch.Answer{}, dispatch.ErrDuplicateID)
		answers.add("the id is open", f.exchange(t, validRequest))
		f.submitter.set(dispatch.Answer{}, errors.New("whatever else"))
		answers.add("not taken", f.exchange(t, validRequest))
		golden.AssertBytes(t, answers.Bytes(), "jobs.http")
	})
}

func TestAnswerBytesWhenLimitsAreReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var answers transcript
		bodies := newFixture(t, func(n *config.Node) { n.Limits.AllBodiesBytes = 3 })
		answers.add("no room for bodies", bodies.exchange(t, validRequest))
		connections := newFixture(t, func(n *config.Node) { n.Limits.ClientConns = 0 })
		answers.add("no room for connections", connections.exchange(t, ""))
		golden.AssertBytes(t, answers.Bytes(), "no_room.http")
	})
}

func TestAnswerBytesForGetRequests(t *testing.T) {
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: b\r\n\r\n" }
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil)
		var answers transcript
		request := func(name, path string) { answers.add(name+" "+path, f.exchange(t, get(path))) }
		request("up:", "/up")
		request("counters:", "/counters")
		request("off:", "/members")
		request("off:", "/leases")
		request("no such page:", "/other")
		running := true
		f.server.Members = func(context.Context) (any, bool) { return map[string]int{"size": 3}, running }
		f.server.Leases = func(_ context.Context, key string) (any, bool) { return map[string]string{"key": key}, running }
		request("on:", "/members")
		request("on:", "/leases?key=enrol/k")
		running = false
		request("ended:", "/members")
		request("ended:", "/leases")
		f.server.Drain()
		request("leaving:", "/up")
		request("leaving:", "/other")
		answers.add("leaving: a job", f.exchange(t, validRequest))
		golden.AssertBytes(t, answers.Bytes(), "questions.http")
	})
}

// silentSubmitter accepts jobs and never answers them.
type silentSubmitter struct{ abandoned chan *dispatch.Job }

func (s *silentSubmitter) Submit(*dispatch.Job) error { return nil }
func (s *silentSubmitter) Abandon(j *dispatch.Job)    { s.abandoned <- j }

// A client that closes only its sending direction must get an answer. The test uses a socket, because the in-memory
// network has no half-close.
func TestHalfClosedClientGetsAnAnswer(t *testing.T) {
	node := testenv.Node(t, nil, "")
	core, err := dispatch.New(node, new(dispatch.Counters), nil, nil, nopWatcher{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	server, submitter := clienthttp.New(node, core), &silentSubmitter{abandoned: make(chan *dispatch.Job, 1)}
	server.Jobs = submitter
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Shutdown(context.Background())
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, validRequest)
	conn.(*net.TCPConn).CloseWrite()
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	date := regexp.MustCompile(`Date: [^\r]+`) // the date depends on the machine's clock
	golden.AssertBytes(t, date.ReplaceAll(answer, []byte("Date: today")), "client_left.http")
}
