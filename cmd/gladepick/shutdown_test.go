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

// TestShutdownAnswersOpenJob checks that after SIGTERM a dispatcher answers a job that is in flight, counts the job in
// its last log line and exits with 0. Reloads before and during the shutdown do not affect the job.
func TestShutdownAnswersOpenJob(t *testing.T) {
	address := freeAddress(t)
	received, finish := make(chan bool), make(chan bool)
	workerField := startWorker(t, func() {
		received <- true
		<-finish
	})
	path := writeSettings(t, workerField)
	command, lines := startProgram(t, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + address, "NODE_CONFIG=" + path, "NODE_DISCOVERY=" + freeAddress(t)})
	if status, _ := httpGet(t, "http://"+address+"/up"); status != 200 {
		t.Errorf("/up answers %d", status)
	}
	req, _ := http.NewRequest("POST", "http://"+address+"/seat-check", strings.NewReader("x"))
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
	<-received
	// None of these reloads affects the job in flight: with a valid file, a truncated one, and one with other classes.
	// A SIGHUP after the SIGTERM is handled too.
	waitForLine := func(text string) {
		for lines.Scan() && !strings.Contains(lines.Text(), text) {
		}
	}
	original, _ := os.ReadFile(path)
	newDiscovery := freeAddress(t)
	os.WriteFile(path, append([]byte(`{"discovery":"`+newDiscovery+`",`), original[1:]...), 0o600)
	command.Process.Signal(syscall.SIGHUP)
	waitForLine("discovery is at " + newDiscovery)
	os.WriteFile(path, original[:len(original)/2], 0o600)
	command.Process.Signal(syscall.SIGHUP)
	waitForLine("the old settings stay")
	otherClasses := strings.NewReplacer(`"seat-check"`, `"browse"`, `"enrol"`, `"charge"`).Replace(string(original))
	os.WriteFile(path, []byte(`{"discovery":"`+freeAddress(t)+`",`+otherClasses[1:]), 0o600)
	command.Process.Signal(syscall.SIGHUP)
	waitForLine("none of browse, charge is a class of this dispatcher")
	os.WriteFile(path, original[:len(original)/2], 0o600)
	command.Process.Signal(syscall.SIGTERM)
	waitForLine("leaving")
	command.Process.Signal(syscall.SIGHUP)
	waitForLine("the old settings stay")
	close(finish)
	if got := <-answered; got != "200 seen true" {
		t.Errorf("the job in flight was answered with %s", got)
	}
	lastLine := ""
	for lines.Scan() {
		lastLine = lines.Text()
	}
	if err := command.Wait(); err != nil || !strings.Contains(lastLine, "taken=1 served=1 ") || !strings.Contains(lastLine, " open=0 ") {
		t.Errorf("the dispatcher exited with %v and the last line %q", err, lastLine)
	}
}

// TestListenerFailureAnswersOpenJob checks that a dispatcher whose client listener fails permanently answers the job in
// flight and exits with 1. Until it exits, it answers requests on existing connections with 503 and closes them.
func TestListenerFailureAnswersOpenJob(t *testing.T) {
	address := freeAddress(t)
	received, finish := make(chan bool), make(chan bool)
	workerField := startWorker(t, func() {
		received <- true
		<-finish
	})
	stdin, stdinWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer stdin.Close()
	defer stdinWriter.Close()
	command, lines := startProgramWithInput(t, stdin, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + address, "NODE_CONFIG=" + writeSettings(t, workerField),
		"NODE_DISCOVERY=" + freeAddress(t), "GLADEPICK_BREAKS=" + address})
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn, bufio.NewReader(conn)
	}
	readAnswer := func(reader *bufio.Reader) string {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(resp.Body)
		return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)), " ", resp.Close)
	}
	jobConn, jobReader := dial()
	fmt.Fprint(jobConn, "POST /seat-check HTTP/1.1\r\nHost: b\r\nX-Request-ID: b1\r\nX-Priority-Class: seat-check\r\n"+
		"X-Tenant-Id: univ-gaspesie\r\nX-Timeout: 300\r\nContent-Length: 2\r\n\r\ngo")
	<-received
	statusConn, statusReader := dial()
	fmt.Fprint(statusConn, "GET /up HTTP/1.1\r\nHost: b\r\n\r\n")
	if got := readAnswer(statusReader); got != "200 up false" {
		t.Errorf("/up before the listener failed: %s", got)
	}
	fmt.Fprint(statusConn, "GET /up HTTP/1.1\r\n") // an incomplete header: the rest is sent during the shutdown
	fmt.Fprintln(stdinWriter, "now")               // breaks the listener
	for lines.Scan() && !strings.Contains(lines.Text(), "is leaving") {
	}
	fmt.Fprint(statusConn, "Host: b\r\n\r\n")
	if got := readAnswer(statusReader); got != "503 leaving true" {
		t.Errorf("/up on an existing connection during the shutdown: %s", got)
	}
	close(finish)
	if got := readAnswer(jobReader); got != "200 seen true" {
		t.Errorf("the job in flight was answered with %s", got)
	}
	log := ""
	for lines.Scan() {
		log += lines.Text() + "\n"
	}
	if command.Wait(); command.ProcessState.ExitCode() != 1 || !strings.Contains(log, "taken=1 served=1 ") || !strings.Contains(log, "the portal has ended") {
		t.Errorf("the dispatcher exited with %v and logged %q", command.ProcessState, log)
	}
}

// TestShutdownAnswersEveryAcceptedJob has clients send jobs on open and on new connections, as fast as they are
// answered, until the dispatcher has exited. The client of every job that the dispatcher counts as taken must get
// an answer. No new connection may be closed without an answer, except the last one of each client.
func TestShutdownAnswersEveryAcceptedJob(t *testing.T) {
	address := freeAddress(t)
	workerField := startWorker(t, func() {})
	command, lines := startProgram(t, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + address, "NODE_CONFIG=" + writeSettings(t, workerField), "NODE_DISCOVERY=" + freeAddress(t)})
	// firstUnanswered counts the unanswered jobs that were the first on their connection.
	var answered, unanswered, firstUnanswered atomic.Int64
	var clients sync.WaitGroup
	underLoad := make(chan bool, 1)
	for i := range 8 {
		clients.Go(func() {
			for n := 0; ; {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					return // the dispatcher has exited
				}
				reader, first := bufio.NewReader(conn), true
				for ; ; n++ {
					conn.SetDeadline(time.Now().Add(10 * time.Second))
					fmt.Fprintf(conn, "POST /seat-check HTTP/1.1\r\nHost: b\r\nX-Request-ID: c%d-%d\r\nX-Priority-Class: seat-check\r\n"+
						"X-Tenant-Id: univ-gaspesie\r\nX-Timeout: 5\r\nContent-Length: 2\r\n\r\ngo", i, n)
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						if unanswered.Add(1); first {
							firstUnanswered.Add(1)
						}
						break
					}
					io.Copy(io.Discard, resp.Body)
					if first = false; answered.Add(1) == 100 {
						underLoad <- true
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
	case <-underLoad:
	case <-time.After(10 * time.Second):
		t.Error("fewer than 100 answers in 10 s")
	}
	command.Process.Signal(syscall.SIGTERM)
	command.Process.Signal(syscall.SIGTERM) // a second SIGTERM has no effect
	lastLine := ""
	for lines.Scan() {
		lastLine = lines.Text()
	}
	if err := command.Wait(); err != nil {
		t.Error(err)
	}
	clients.Wait()
	if want := fmt.Sprintf("taken=%d ", answered.Load()); !strings.Contains(lastLine, want) || !strings.Contains(lastLine, " open=0 ") {
		t.Errorf("%d answers and %d connections closed without one; the last line is %q", answered.Load(), unanswered.Load(), lastLine)
	}
	if firstUnanswered.Load() > 8 { // the last connection of each client may be reset when the listener closes
		t.Errorf("%d new connections were closed without an answer", firstUnanswered.Load())
	}
}

// TestTooLargeAnswerReachesSendingClient checks that a client that is still sending a far too large body, larger than
// the socket buffers, receives the 413 before the connection is reset.
func TestTooLargeAnswerReachesSendingClient(t *testing.T) {
	address := freeAddress(t)
	command, _ := startProgram(t, "serves on", []string{"NODE_NAME=n0", "NODE_LISTEN=" + address, "NODE_CONFIG=" + writeSettings(t, "")})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "POST /enrol HTTP/1.1\r\nHost: b\r\nContent-Length: 60000000\r\n\r\n")
	for sent, chunk := 0, make([]byte, 64<<10); sent < 3<<20; sent += len(chunk) {
		if _, err := conn.Write(chunk); err != nil {
			t.Fatalf("sending failed after %d bytes: %v", sent, err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge || !resp.Close {
		t.Errorf("the client received the response %v and the error %v, want a 413 that closes the connection", resp, err)
	}
	command.Process.Signal(syscall.SIGTERM)
	if err := command.Wait(); err != nil {
		t.Error(err)
	}
}
