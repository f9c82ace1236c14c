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

// WorkerGroup is what all workers of a test share: what was sent, and the rules whose violation only all of them can see.
type WorkerGroup struct {
	mu            sync.Mutex
	Sends         map[string][]string // worker names, by request id
	Headers       map[string]http.Header
	Bodies        map[string]string
	Targets       map[string]string
	inFlight      map[string]int
	Violations    []string
	StopsOnCancel bool // a cancel stops the work, as at the second deployment
	Stopped       []string
}

// beginJob notes that a job has arrived completely. Its body is its script: a step for each attempt, the last for the rest.
// A step is a word and perhaps, behind a slash, how long it takes.
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
		y.Violations = append(y.Violations, id+": two attempts are out")
	}
	return word, takes
}

func (y *WorkerGroup) endJob(id string) {
	y.mu.Lock()
	y.inFlight[id]--
	y.mu.Unlock()
}

// Sent returns the workers that a job was sent to, in order.
func (y *WorkerGroup) Sent(id string) []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return append([]string(nil), y.Sends[id]...)
}

// line words one line of an answer.
func line(id, from, state, more string) string {
	return fmt.Sprintf(`{"id":%q,"from":%q,"state":%q%s}`+"\n", id, from, state, more)
}

// Result is what a worker gives for a job.
func Result(id string) string { return "result of " + id }

const load = `,"load":{"x0":2.5,"fail_rate":0,"rate":1.5,"q":0}`

// lines are the lines of a step, as far as both wires have it; ok is false for what is a wire's own.
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

// Worker serves jobs over HTTP/1.1 at an address until the listener closes.
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

// waitOrStop waits while a job runs, and tells whether its connection was closed meanwhile.
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
