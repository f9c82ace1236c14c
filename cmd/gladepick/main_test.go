// These tests run the program itself, as a process on loopback: start, up,
// SIGTERM, end. What it decides and carries is tested elsewhere.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/testenv"
)

func TestMain(m *testing.M) {
	if os.Getenv("GLADEPICK_AS_PROGRAM") != "" { // this same file plays bin/gladepick
		if at := os.Getenv("GLADEPICK_BREAKS"); at != "" {
			go breakListener(at)
		}
		main()
	}
	os.Exit(m.Run())
}

// program starts the program and waits for a line that has a word.
func program(t *testing.T, word string, env []string, args ...string) (*exec.Cmd, *bufio.Scanner) {
	return start(t, nil, word, env, args...)
}

// start is program with a standard input.
func start(t *testing.T, in io.Reader, word string, env []string, args ...string) (*exec.Cmd, *bufio.Scanner) {
	c := exec.Command(os.Args[0], args...)
	c.Stdin = in
	c.Env = append(os.Environ(), append(env, "GLADEPICK_AS_PROGRAM=1")...)
	out, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.Contains(lines.Text(), word) {
			return c, lines
		}
	}
	t.Fatalf("the program ended without %q", word)
	return nil, nil
}

// breakListener waits for the test's word and ends the socket that this process listens with at an address, as a fault of
// the kernel would: whoever accepts there fails for good.
func breakListener(at string) {
	fmt.Scanln()
	fds, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range fds {
		fd, _ := strconv.Atoi(entry.Name())
		if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
			continue
		}
		here, _ := syscall.Getsockname(fd)
		if v4, ok := here.(*syscall.SockaddrInet4); ok && strings.HasSuffix(at, fmt.Sprintf(":%d", v4.Port)) {
			fmt.Fprintln(os.Stderr, "the test breaks the listener:", syscall.Shutdown(fd, syscall.SHUT_RDWR))
			return
		}
	}
	fmt.Fprintln(os.Stderr, "the test finds no listener at", at)
}

// host is a loopback address of this process alone: a port that is free there is not taken by another test program.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255|1)
}

// free gives a loopback address that nobody listens on.
func free(t *testing.T) string {
	l, err := net.Listen("tcp", host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func settings(t *testing.T, more string) string {
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(`{"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":`+testenv.Settings+more+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func get(t *testing.T, url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// worker serves jobs, each after a while, and gives the settings' part that names it.
func worker(t *testing.T, while func()) string {
	l, err := net.Listen("tcp", host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		while()
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"seen"}`, r.Header.Get("X-Request-ID"))
	}))
	return fmt.Sprintf(`,"known":{"instances":[{"instanceId":"s-0badcafe","hostPort":%q,"zone":"montreal","machineType":"std-2c","lifecycle":"ready"}]}`, l.Addr())
}

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

// An agent brings its instance up, tells about it, and takes it along when it leaves.
func TestAgentWithAnInstance(t *testing.T) {
	control, at := free(t), free(t)
	file := filepath.Join(t.TempDir(), "agent.toml")
	text := fmt.Sprintf("[agent]\ncontrol = %q\npoll_ms = 50\n[[instance]]\nname = \"n0\"\nlisten = %q\nconfig = %q\n", control, at, settings(t, ""))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, lines := program(t, "n0 serves on", nil, "agent", file)
	tool := func(args ...string) string {
		var out bytes.Buffer
		if err := run(append(args[:1:1], append([]string{"-agent", control}, args[1:]...)...), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	for s := ""; !strings.Contains(s, " up "); {
		s = tool("status")
	}
	if s := tool("counters", "n0"); !strings.Contains(s, "workers_ready") {
		t.Errorf("counters: %s", s)
	}
	if s := tool("reload", "n0"); !strings.Contains(s, "n0: reload") {
		t.Errorf("reload: %s", s)
	}
	for lines.Scan() && !strings.Contains(lines.Text(), "reload: discovery") {
	}
	c.Process.Signal(syscall.SIGHUP) // to the agent: it passes it on and stays
	for lines.Scan() && !strings.Contains(lines.Text(), "reload: discovery") {
	}
	tool("drain", "n0")
	for s := ""; !strings.Contains(s, "drained"); {
		s = tool("status")
	}
	c.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", at); err == nil {
		t.Error("the instance outlived its agent")
	}
}

// Wrong use ends with 2, what fails with 1, and each says in one line what is wrong; help says how it is done.
func TestExitCodes(t *testing.T) {
	for _, k := range []struct {
		code int
		says string
		args []string
	}{
		{cli.ExitMisuse, "unknown command \"fly\"", []string{"fly"}},
		{cli.ExitMisuse, "did you mean drain?", []string{"drian"}},
		{cli.ExitMisuse, "agent needs one file", []string{"agent"}},
		{cli.ExitMisuse, "agent needs one file", []string{"agent", "a", "b"}},
		{cli.ExitMisuse, "drain needs the names of instances", []string{"drain"}},
		{cli.ExitMisuse, "status: unknown flag: --fast", []string{"status", "--fast"}},
		{cli.ExitFailed, "no such file", []string{"agent", "no such file"}},
		{cli.ExitFailed, "the agent at 127.0.0.1:1", []string{"status", "-agent", "127.0.0.1:1"}},
		{cli.ExitFailed, "the agent at 127.0.0.1:1", []string{"counters", "-agent=127.0.0.1:1", "n0"}},
		{cli.ExitFailed, "need gladepick-full beside this program", []string{"plan", "service >= 0.9"}},
		{cli.ExitFailed, "gladepick-full", []string{"schema"}},
		{cli.ExitDone, "", []string{"help"}},
		{cli.ExitDone, "", []string{"-help"}},
		{cli.ExitDone, "", []string{"completion", "bash"}},
	} {
		err := run(k.args, io.Discard)
		if cli.ExitCode(err) != k.code || err != nil && !strings.Contains(err.Error(), k.says) {
			t.Errorf("%v ends with %d: %v", k.args, cli.ExitCode(err), err)
		}
	}
	for args, says := range map[string]string{"help": "Exit codes: 0 done", "help agent": "gladepick agent FILE", "drain --help": "gladepick drain NAME..."} {
		var out bytes.Buffer
		if err := run(strings.Fields(args), &out); err != nil || !strings.Contains(out.String(), says) {
			t.Errorf("%s: %v, %s", args, err, out.String())
		}
	}
}
