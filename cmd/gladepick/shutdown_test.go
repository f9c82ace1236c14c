package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Told to leave with a job out, a dispatcher answers it and exits with 0; its last line counts it.
func TestDispatcherLeaves(t *testing.T) {
	at := free(t)
	has, goOn := make(chan bool), make(chan bool)
	known := worker(t, func() {
		has <- true
		<-goOn
	})
	path := settings(t, known)
	c, lines := program(t, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + at, "NODE_CONFIG=" + path, "NODE_DISCOVERY=" + free(t)})
	if status, _ := get(t, "http://"+at+"/up"); status != 200 {
		t.Errorf("/up answers %d", status)
	}
	req, _ := http.NewRequest("POST", "http://"+at+"/seat-check", strings.NewReader("x"))
	for k, v := range map[string]string{"X-Request-ID": "p1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "300"} {
		req.Header.Set(k, v)
	}
	answered := make(chan string)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		body, _ := io.ReadAll(resp.Body)
		answered <- fmt.Sprint(resp.StatusCode, " ", string(body), " ", resp.Close)
	}()
	<-has
	// A reload, with a file that is good and with half a one, changes nothing for the job; and signals come in any order.
	wait := func(word string) {
		for lines.Scan() && !strings.Contains(lines.Text(), word) {
		}
	}
	whole, _ := os.ReadFile(path)
	moved := free(t)
	os.WriteFile(path, append([]byte(`{"discovery":"`+moved+`",`), whole[1:]...), 0o600)
	c.Process.Signal(syscall.SIGHUP)
	wait("discovery is at " + moved)
	os.WriteFile(path, whole[:len(whole)/2], 0o600)
	c.Process.Signal(syscall.SIGHUP)
	wait("the old settings stay")
	other := strings.NewReplacer(`"seat-check"`, `"browse"`, `"enrol"`, `"charge"`).Replace(string(whole))
	os.WriteFile(path, []byte(`{"discovery":"`+free(t)+`",`+other[1:]), 0o600)
	c.Process.Signal(syscall.SIGHUP)
	wait("none of browse, charge is a class of this dispatcher")
	os.WriteFile(path, whole[:len(whole)/2], 0o600)
	c.Process.Signal(syscall.SIGTERM)
	wait("leaving")
	c.Process.Signal(syscall.SIGHUP)
	wait("the old settings stay")
	close(goOn)
	if got := <-answered; got != "200 seen true" {
		t.Errorf("the job that was out: %s", got)
	}
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	if err := c.Wait(); err != nil || !strings.Contains(last, "taken=1 served=1 ") || !strings.Contains(last, " open=0 ") {
		t.Errorf("it ended with %v and %q", err, last)
	}
}

// Where the portal's listener fails for good, what was taken is answered before the dispatcher ends, with 1; a connection
// that was there is served until then, and told to go.
func TestListenerFailsWithJobsOpen(t *testing.T) {
	at := free(t)
	has, goOn := make(chan bool), make(chan bool)
	known := worker(t, func() {
		has <- true
		<-goOn
	})
	word, say, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer word.Close()
	defer say.Close()
	c, lines := start(t, word, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + at, "NODE_CONFIG=" + settings(t, known),
		"NODE_DISCOVERY=" + free(t), "GLADEPICK_BREAKS=" + at})
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	hears := func(in *bufio.Reader) string {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)), " ", resp.Close)
	}
	job, in := dial()
	fmt.Fprint(job, "POST /seat-check HTTP/1.1\r\nHost: b\r\nX-Request-ID: b1\r\nX-Priority-Class: seat-check\r\n"+
		"X-Tenant-Id: univ-gaspesie\r\nX-Timeout: 300\r\nContent-Length: 2\r\n\r\ngo")
	<-has
	kept, also := dial()
	fmt.Fprint(kept, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := hears(also); got != "200 up false" {
		t.Errorf("before: %s", got)
	}
	fmt.Fprint(kept, "GET /up HTTP/1.1\r\n") // part of a head may become a request, also while leaving
	fmt.Fprintln(say, "now")
	for lines.Scan() && !strings.Contains(lines.Text(), "is leaving") {
	}
	fmt.Fprint(kept, "Host: b\r\n\r\n")
	if got := hears(also); got != "503 leaving true" {
		t.Errorf("on a connection that was there: %s", got)
	}
	close(goOn)
	if got := hears(in); got != "200 seen true" {
		t.Errorf("the job that was out: %s", got)
	}
	all := ""
	for lines.Scan() {
		all += lines.Text() + "\n"
	}
	if c.Wait(); c.ProcessState.ExitCode() != 1 || !strings.Contains(all, "taken=1 served=1 ") || !strings.Contains(all, "the portal has ended") {
		t.Errorf("it ended with %v and %q", c.ProcessState, all)
	}
}

// Clients send on kept and on new connections while a dispatcher leaves, as fast as they are answered, up to its end:
// every job that it has taken has an answer at its client, and no new connection is closed without one.
func TestNoTakenJobIsLostOnLeaving(t *testing.T) {
	at := free(t)
	known := worker(t, func() {})
	c, lines := program(t, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + at, "NODE_CONFIG=" + settings(t, known), "NODE_DISCOVERY=" + free(t)})
	var answered, unheard, lost atomic.Int64
	var clients sync.WaitGroup
	half := make(chan bool, 1)
	for i := range 8 {
		clients.Go(func() {
			for n := 0; ; {
				conn, err := net.Dial("tcp", at)
				if err != nil {
					return // it has ended
				}
				in, first := bufio.NewReader(conn), true
				for ; ; n++ {
					conn.SetDeadline(time.Now().Add(10 * time.Second))
					fmt.Fprintf(conn, "POST /seat-check HTTP/1.1\r\nHost: b\r\nX-Request-ID: c%d-%d\r\nX-Priority-Class: seat-check\r\n"+
						"X-Tenant-Id: univ-gaspesie\r\nX-Timeout: 5\r\nContent-Length: 2\r\n\r\ngo", i, n)
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						if unheard.Add(1); first {
							lost.Add(1)
						}
						break
					}
					io.Copy(io.Discard, resp.Body)
					if first = false; answered.Add(1) == 100 {
						half <- true
					}
					if resp.Close {
						break
					}
				}
				conn.Close()
			}
		})
	}
	select {
	case <-half:
	case <-time.After(10 * time.Second):
		t.Error("no answers come")
	}
	c.Process.Signal(syscall.SIGTERM)
	c.Process.Signal(syscall.SIGTERM) // a second one changes nothing
	last := ""
	for lines.Scan() {
		last = lines.Text()
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	clients.Wait()
	if want := fmt.Sprintf("taken=%d ", answered.Load()); !strings.Contains(last, want) || !strings.Contains(last, " open=0 ") {
		t.Errorf("%d answers were heard, %d closes without one; it ended with %q", answered.Load(), unheard.Load(), last)
	}
	if lost.Load() > 8 { // each client's last connection may meet the listener's end
		t.Errorf("%d new connections were closed without an answer", lost.Load())
	}
}

// The answer to a body that is far too large reaches a client that sends for longer than the sockets' buffers hold,
// before anything is reset.
func TestAnswerReachesWhoStillSends(t *testing.T) {
	at := free(t)
	c, _ := program(t, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + at, "NODE_CONFIG=" + settings(t, "")})
	conn, err := net.Dial("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /enrol HTTP/1.1\r\nHost: b\r\nContent-Length: 60000000\r\n\r\n")
	for sent, more := 0, make([]byte, 64<<10); sent < 3<<20; sent += len(more) {
		if _, err := conn.Write(more); err != nil {
			t.Fatalf("after %d bytes: %v", sent, err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge || !resp.Close {
		t.Errorf("answered %v, %v", resp, err)
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
}
