package testenv

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// WorkerGroup is the state that all workers of a test share: the jobs that they received, and the violations that no
// single worker can observe.
type WorkerGroup struct {
	mu            sync.Mutex
	Sends         map[string][]string // by request id: the workers that received the job, in order
	Headers       map[string]http.Header
	Bodies        map[string]string
	Targets       map[string]string
	inFlight      map[string]int // by request id: attempts that workers have not ended
	Violations    []string
	StopsOnCancel bool     // a closed connection stops its job, as in the second deployment
	Stopped       []string // ids of the jobs that a closed connection stopped
}

// beginJob records a job that has arrived completely. Its body is a script of comma-separated steps, one per attempt;
// the last step also serves all later attempts. A step is a word, optionally followed by a slash and the duration of
// the job.
func (y *WorkerGroup) beginJob(id, worker, script string) (word string, takes time.Duration) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.Sends == nil {
		y.Sends, y.inFlight = map[string][]string{}, map[string]int{}
		y.Headers, y.Bodies, y.Targets = map[string]http.Header{}, map[string]string{}, map[string]string{}
	}
	steps := strings.Split(script, ",")
	word, length, _ := strings.Cut(steps[min(len(y.Sends[id]), len(steps)-1)], "/")
	takes, _ = time.ParseDuration(length)
	y.Sends[id] = append(y.Sends[id], worker)
	if y.inFlight[id]++; y.inFlight[id] > 1 {
		y.Violations = append(y.Violations, id+": more than one attempt in flight")
	}
	return word, takes
}

// endJob records the end of an attempt.
func (y *WorkerGroup) endJob(id string) {
	y.mu.Lock()
	y.inFlight[id]--
	y.mu.Unlock()
}

// Sent returns the workers that received a job, in order.
func (y *WorkerGroup) Sent(id string) []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]string(nil), y.Sends[id]...)
}

// line encodes one line of an answer. more is empty or further JSON fields with a leading comma.
func line(id, from, state, more string) string {
	return fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`+"\n", id, from, state, more)
}

// Result returns the result with which a worker completes a job.
func Result(id string) string { return "result of " + id }

// load is the load report in the last line of an answer.
const load = `,"load":{"x0":2.5,"fail_rate":0,"rate":1.5,"q":0}`

// lines returns the answer's lines of a script step that both HTTP and AMQP workers support. ok is false for other
// steps.
func lines(id, from, word string) (text []string, ok bool) {
	started := line(id, from, "started", "")
	switch word {
	case "done":
		return []string{started, line(id, from, "running", `,"share":0.4`),
			line(id, from, "done", fmt.Sprintf(`,"result":%q`, Result(id))+load)}, true
	case "failed", "lost":
		return []string{started, line(id, from, word, load)}, true
	case "returned":
		return []string{line(id, from, word, load)}, true
	case "truncated":
		return []string{started, `{"id":"` + id + `","from":"x","sta`}, true
	case "foreign":
		return []string{line("another job", from, "done", `,"result":"not yours"`)}, true
	case "silent":
		return []string{started}, true
	}
	return nil, false
}

// Worker serves jobs over HTTP/1.1 until the listener closes.
func (y *WorkerGroup) Worker(l net.Listener, name string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for y.serve(conn, in, name) { // until the connection ends
			}
		}()
	}
}

// waitOrStop waits for a job's duration and reports whether its connection was closed before the end.
func (y *WorkerGroup) waitOrStop(conn net.Conn, in *bufio.Reader, takes time.Duration) bool {
	closed := make(chan bool, 1)
	go func() {
		_, err := in.Peek(1)
		closed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	select {
	case is := <-closed:
		return is
	case <-time.After(takes):
	}
	conn.SetReadDeadline(time.Now())
	is := <-closed
	conn.SetReadDeadline(time.Time{})
	return is
}
