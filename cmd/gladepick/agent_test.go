package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

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
