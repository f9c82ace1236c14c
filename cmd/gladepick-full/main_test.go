// These tests run a dispatcher with recording as a process on a loopback address, and the command plan on the
// descriptions in deploy.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/testenv"
)

func TestMain(m *testing.M) {
	if os.Getenv("GLADEPICK_AS_PROGRAM") != "" { // the test binary runs as bin/gladepick-full
		main()
	}
	os.Exit(m.Run())
}

// TestDispatcherRecordsRequests checks that a dispatcher with NODE_CAPTURE records the requests that it handled, and
// that the error for a faulty capture file names the file, the line and the key.
func TestDispatcherRecordsRequests(t *testing.T) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.65.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255|1))
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	dir := t.TempDir()
	conf, good, bad := filepath.Join(dir, "node.json"), filepath.Join(dir, "capture.json"), filepath.Join(dir, "bad.json")
	os.WriteFile(conf, []byte(`{"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":`+testenv.Settings+`}`), 0o600)
	os.WriteFile(good, fmt.Appendf(nil, `{"dir":%q}`, dir), 0o600)
	os.WriteFile(bad, []byte("{\"dir\":\"/\",\n\"rotate_s\":0}"), 0o600)
	start := func(captureFile string) (*exec.Cmd, *bufio.Scanner) {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), "GLADEPICK_AS_PROGRAM=1", "NODE_NAME=n0", "NODE_LISTEN="+address, "NODE_CONFIG="+conf, "NODE_CAPTURE="+captureFile)
		out, err := command.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { command.Process.Kill() })
		return command, bufio.NewScanner(out)
	}
	command, lines := start(bad)
	lines.Scan()
	if err := command.Wait(); err == nil || !strings.Contains(lines.Text(), "bad.json:2:12: key rotate_s") {
		t.Errorf("with a faulty capture file the dispatcher exits with %v and prints %q", err, lines.Text())
	}
	command, lines = start(good)
	for lines.Scan() && !strings.Contains(lines.Text(), "serves on") {
	}
	req, _ := http.NewRequest("POST", "http://"+address+"/seat-check", strings.NewReader("x"))
	for k, v := range map[string]string{"X-Request-ID": "p1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "300"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req) // rejected immediately, as no worker is known
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	command.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := command.Wait(); err != nil {
		t.Error(err)
	}
	recorded, err := capture.Read(dir)
	if err != nil || len(recorded.Requests) != 1 || recorded.Requests[0].Outcome != "refused" ||
		recorded.Requests[0].Tenant != "univ-gaspesie" || recorded.Requests[0].RetryAfter == 0 {
		t.Errorf("reading the recording returned the error %v and the content %+v", err, recorded)
	}
}

// TestPlanExitCodes checks that plan accepts the descriptions in deploy, and that it exits with 3 if no number of
// workers meets the goal, with 2 on a wrong goal or flag, and with 1 on a faulty or missing description.
func TestPlanExitCodes(t *testing.T) {
	shortLoad := filepath.Join(t.TempDir(), "load.json")
	text, err := os.ReadFile("../../deploy/load.json")
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(shortLoad, bytes.Replace(text, []byte(`"seconds": 60`), []byte(`"seconds": 5`), 1), 0o600)
	faultyFleet := filepath.Join(t.TempDir(), "fleet.json")
	text, _ = os.ReadFile("../../deploy/fleet.json")
	os.WriteFile(faultyFleet, bytes.Replace(text, []byte(`"cores": 3`), []byte(`"cores": -3`), 1), 0o600)
	for _, test := range []struct {
		code           int
		fleet, message string // message: part of the output or the error
		args           []string
	}{
		{cli.ExitDone, "", "first to break", []string{"service >= 0.9", "--ask", "breaks", "--most", "8"}},
		{cli.ExitDone, "", "\"zones\": [", []string{"service >= 0.9", "--ask", "zones", "-o", "json"}},
		{cli.ExitGoalMissed, "", "no number of workers", []string{"score >= 1 with zone montreal lost", "--ask", "needs", "--most", "1"}},
		{cli.ExitMisuse, "", "goal, line 1, column 9", []string{"service > 0.9"}},
		{cli.ExitMisuse, "", "there are breaks, needs, zones", []string{"service >= 0.9", "--ask", "all"}},
		{cli.ExitMisuse, "", "is neither a class", []string{"service(x) >= 0.9"}},
		{cli.ExitFailed, faultyFleet, "fleet.json:6:34: key kinds.0.cores", []string{"service >= 0.9"}},
		{cli.ExitFailed, "none.json", "none.json: no such file", []string{"service >= 0.9"}},
	} {
		if test.fleet == "" {
			test.fleet = "../../deploy/fleet.json"
		}
		var out bytes.Buffer
		err := run(append([]string{"plan", "--fleet", test.fleet, "--load", shortLoad, "--days", "4"}, test.args...), &out)
		if printed := fmt.Sprint(out.String(), err); cli.ExitCode(err) != test.code || !strings.Contains(printed, test.message) {
			t.Errorf("%v exits with %d: %s", test.args, cli.ExitCode(err), printed)
		}
	}
}
