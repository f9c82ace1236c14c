// These tests run the program as a process on loopback addresses and check how it starts and shuts down. Scheduling and
// the HTTP interfaces are tested in the packages below internal/dispatcher.
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
	if os.Getenv("GLADEPICK_AS_PROGRAM") != "" { // the test binary runs as bin/gladepick
		if address := os.Getenv("GLADEPICK_BREAKS"); address != "" {
			go breakListener(address)
		}
		main()
	}
	os.Exit(m.Run())
}

// startProgram starts the program and waits until it has printed a line that contains text.
func startProgram(t *testing.T, text string, env []string, args ...string) (*exec.Cmd, *bufio.Scanner) {
	return startProgramWithInput(t, nil, text, env, args...)
}

// startProgramWithInput is startProgram with a standard input.
func startProgramWithInput(t *testing.T, stdin io.Reader, text string, env []string, args ...string) (*exec.Cmd, *bufio.Scanner) {
	command := exec.Command(os.Args[0], args...)
	command.Stdin = stdin
	command.Env = append(os.Environ(), append(env, "GLADEPICK_AS_PROGRAM=1")...)
	out, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { command.Process.Kill() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return command, lines
		}
	}
	t.Fatalf("the program ended without printing %q", text)
	return nil, nil
}

// breakListener waits for a line on standard input, then shuts down the socket that this process listens on at address.
// This simulates a fault of the kernel: every later accept on the socket fails.
func breakListener(address string) {
	fmt.Scanln()
	fds, _ := os.ReadDir("/proc/self/fd")
	for _, entry := range fds {
		fd, _ := strconv.Atoi(entry.Name())
		if listening, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || listening == 0 {
			continue
		}
		local, _ := syscall.Getsockname(fd)
		if v4, ok := local.(*syscall.SockaddrInet4); ok && strings.HasSuffix(address, fmt.Sprintf(":%d", v4.Port)) {
			fmt.Fprintln(os.Stderr, "the test breaks the listener:", syscall.Shutdown(fd, syscall.SHUT_RDWR))
			return
		}
	}
	fmt.Fprintln(os.Stderr, "the test finds no listener at", address)
}

// loopbackHost returns a loopback address derived from the process id, so that other test programs do not take its
// ports.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255|1)
}

// freeAddress returns a loopback address and port that no process listens on.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", loopbackHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeSettings writes a dispatcher's configuration file with extraFields appended, and returns its path.
func writeSettings(t *testing.T, extraFields string) string {
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(`{"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":`+testenv.Settings+extraFields+`}`), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func httpGet(t *testing.T, url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// startWorker starts a worker that calls beforeAnswer before it answers each job. It returns the configuration fields
// that name the worker, for writeSettings.
func startWorker(t *testing.T, beforeAnswer func()) string {
	l, err := net.Listen("tcp", loopbackHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		beforeAnswer()
		fmt.Fprintf(w, `{"id":%q,"state":"done","result":"seen"}`, r.Header.Get("X-Request-ID"))
	}))
	return fmt.Sprintf(`,"known":{"instances":[{"instanceId":"s-0badcafe","hostPort":%q,"zone":"montreal","machineType":"std-2c","lifecycle":"ready"}]}`, l.Addr())
}
