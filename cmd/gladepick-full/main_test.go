// These tests run a recorded dispatcher as a process on loopback, and the
// planner's command line on the shipped descriptions.
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
	if os.Getenv("GLADEPICK_AS_PROGRAM") != "" { // this same file plays bin/gladepick-full
		main()
	}
	os.Exit(m.Run())
}

// A dispatcher that is told to records what it did, and what it says of a faulty file names the place.
func TestRecordedDispatcher(t *testing.T) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.65.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255|1))
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().String()
	l.Close()
	dir := t.TempDir()
	conf, good, bad := filepath.Join(dir, "node.json"), filepath.Join(dir, "capture.json"), filepath.Join(dir, "bad.json")
	os.WriteFile(conf, []byte(`{"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":`+testenv.Settings+`}`), 0o600)
	os.WriteFile(good, fmt.Appendf(nil, `{"dir":%q}`, dir), 0o600)
	os.WriteFile(bad, []byte("{\"dir\":\"/\",\n\"rotate_s\":0}"), 0o600)
	start := func(record string) (*exec.Cmd, *bufio.Scanner) {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "GLADEPICK_AS_PROGRAM=1", "NODE_NAME=n0", "NODE_LISTEN="+at, "NODE_CONFIG="+conf, "NODE_CAPTURE="+record)
		out, err := c.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Process.Kill() })
		return c, bufio.NewScanner(out)
	}
	c, lines := start(bad)
	lines.Scan()
	if err := c.Wait(); err == nil || !strings.Contains(lines.Text(), "bad.json:2:12: key rotate_s") {
		t.Errorf("with a faulty file it ends with %v and %q", err, lines.Text())
	}
	c, lines = start(good)
	for lines.Scan() && !strings.Contains(lines.Text(), "serves on") {
	}
	req, _ := http.NewRequest("POST", "http://"+at+"/seat-check", strings.NewReader("x"))
	for k, v := range map[string]string{"X-Request-ID": "p1", "X-Priority-Class": "seat-check", "X-Tenant-Id": "univ-gaspesie", "X-Timeout": "300"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req) // no worker is known: refused at once
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(resp, err)
	}
	resp.Body.Close()
	c.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := c.Wait(); err != nil {
		t.Error(err)
	}
	s, err := capture.Read(dir)
	if err != nil || len(s.Requests) != 1 || s.Requests[0].Outcome != "refused" || s.Requests[0].Tenant != "univ-gaspesie" || s.Requests[0].RetryAfter == 0 {
		t.Errorf("recorded: %v, %+v", err, s)
	}
}

// The shipped descriptions can be planned with; a goal out of reach ends with 3, a wrong one with 2.
func TestPlan(t *testing.T) {
	short := filepath.Join(t.TempDir(), "load.json")
	text, err := os.ReadFile("../../deploy/load.json")
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(short, bytes.Replace(text, []byte(`"seconds": 60`), []byte(`"seconds": 5`), 1), 0o600)
	spoilt := filepath.Join(t.TempDir(), "fleet.json")
	text, _ = os.ReadFile("../../deploy/fleet.json")
	os.WriteFile(spoilt, bytes.Replace(text, []byte(`"cores": 3`), []byte(`"cores": -3`), 1), 0o600)
	for _, k := range []struct {
		code        int
		fleet, says string
		args        []string
	}{
		{cli.ExitDone, "", "first to break", []string{"service >= 0.9", "--ask", "breaks", "--most", "8"}},
		{cli.ExitDone, "", "\"zones\": [", []string{"service >= 0.9", "--ask", "zones", "-o", "json"}},
		{cli.ExitGoalMissed, "", "no number of workers", []string{"score >= 1 with zone montreal lost", "--ask", "needs", "--most", "1"}},
		{cli.ExitMisuse, "", "goal, line 1, column 9", []string{"service > 0.9"}},
		{cli.ExitMisuse, "", "there are breaks, needs, zones", []string{"service >= 0.9", "--ask", "all"}},
		{cli.ExitMisuse, "", "is neither a class", []string{"service(x) >= 0.9"}},
		{cli.ExitFailed, spoilt, "fleet.json:6:34: key kinds.0.cores", []string{"service >= 0.9"}},
		{cli.ExitFailed, "none.json", "none.json: no such file", []string{"service >= 0.9"}},
	} {
		if k.fleet == "" {
			k.fleet = "../../deploy/fleet.json"
		}
		var out bytes.Buffer
		err := run(append([]string{"plan", "--fleet", k.fleet, "--load", short, "--days", "4"}, k.args...), &out)
		if said := fmt.Sprint(out.String(), err); cli.ExitCode(err) != k.code || !strings.Contains(said, k.says) {
			t.Errorf("%v ends with %d: %s", k.args, cli.ExitCode(err), said)
		}
	}
}
