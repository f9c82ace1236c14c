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
func (g *WorkerGroup) beginJob(id, worker, script string) (step string, duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Sends == nil {
		g.Sends, g.inFlight = map[string][]string{}, map[string]int{}
		g.Headers, g.Bodies, g.Targets = map[string]http.Header{}, map[string]string{}, map[string]string{}
	}
	steps := strings.Split(script, ",")
	step, length, _ := strings.Cut(steps[min(len(g.Sends[id]), len(steps)-1)], "/")
	duration, _ = time.ParseDuration(length)
	g.Sends[id] = append(g.Sends[id], worker)
	if g.inFlight[id]++; g.inFlight[id] > 1 {
		g.Violations = append(g.Violations, id+": more than one attempt in flight")
	}
	return step, duration
}

// endJob records the end of an attempt.
func (g *WorkerGroup) endJob(id string) {
	g.mu.Lock()
	g.inFlight[id]--
	g.mu.Unlock()
}

// Sent returns the workers that received a job, in order.
func (g *WorkerGroup) Sent(id string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.Sends[id]...)
}

// answerLine encodes one line of an answer. extraFields is empty or further JSON fields with a leading comma.
func answerLine(id, from, state, extraFields string) string {
	return fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`+"\n", id, from, state, extraFields)
}

// Result returns the result with which a worker completes a job.
func Result(id string) string { return "result of " + id }

// loadField is the load report in the last line of an answer.
const loadField = `,"load":{"x0":2.5,"fail_rate":0,"rate":1.5,"q":0}`

// answerLines returns the answer's lines of a script step that both HTTP and AMQP workers support. ok is false for
// other steps.
func answerLines(id, from, step string) (text []string, ok bool) {
	started := answerLine(id, from, "started", "")
	switch step {
	case "done":
		return []string{started, answerLine(id, from, "running", `,"share":0.4`),
			answerLine(id, from, "done", fmt.Sprintf(`,"result":%q`, Result(id))+loadField)}, true
	case "failed", "lost":
		return []string{started, answerLine(id, from, step, loadField)}, true
	case "returned":
		return []string{answerLine(id, from, step, loadField)}, true
	case "truncated":
		return []string{started, `{"id":"` + id + `","from":"x","sta`}, true
	case "foreign":
		return []string{answerLine("another job", from, "done", `,"result":"not yours"`)}, true
	case "silent":
		return []string{started}, true
	}
	return nil, false
}

// Worker serves jobs over HTTP/1.1 until the listener closes.
func (g *WorkerGroup) Worker(l net.Listener, name string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in := bufio.NewReader(conn)
			for g.serve(conn, in, name) { // until the connection ends
			}
		}()
	}
}

// waitOrStop waits for a job's duration and reports whether its connection was closed before the end.
func (g *WorkerGroup) waitOrStop(conn net.Conn, in *bufio.Reader, duration time.Duration) bool {
	closed := make(chan bool, 1)
	go func() {
		_, err := in.Peek(1)
		closed <- err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	}()
	select {
	case connClosed := <-closed:
		return connClosed
	case <-time.After(duration):
	}
	conn.SetReadDeadline(time.Now())
	connClosed := <-closed
	conn.SetReadDeadline(time.Time{})
	return connClosed
}
