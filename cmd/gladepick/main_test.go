// These tests run the program itself, as a process on loopback: start, up, SIGTERM, end. What it decides and carries is
// tested elsewhere.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

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
