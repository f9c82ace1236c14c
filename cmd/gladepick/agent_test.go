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

// TestAgentControlsItsInstance checks that an agent starts its instance, serves requests for its status, counters,
// reload and drain, forwards SIGHUP, and stops the instance before it exits.
func TestAgentControlsItsInstance(t *testing.T) {
	control, listen := freeAddress(t), freeAddress(t)
	file := filepath.Join(t.TempDir(), "agent.toml")
	text := fmt.Sprintf("[agent]\ncontrol = %q\npoll_ms = 50\n[[instance]]\nname = \"n0\"\nlisten = %q\nconfig = %q\n", control, listen, writeSettings(t, ""))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	command, lines := startProgram(t, "n0 serves on", nil, "agent", file)
	runCommand := func(args ...string) string {
		var out bytes.Buffer
		if err := run(append(args[:1:1], append([]string{"-agent", control}, args[1:]...)...), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	for s := ""; !strings.Contains(s, " up "); {
		s = runCommand("status")
	}
	if s := runCommand("counters", "n0"); !strings.Contains(s, "workers_ready") {
		t.Errorf("the command counters printed %s", s)
	}
	if s := runCommand("reload", "n0"); !strings.Contains(s, "n0: reload") {
		t.Errorf("the command reload printed %s", s)
	}
	for lines.Scan() && !strings.Contains(lines.Text(), "reload: discovery") {
	}
	command.Process.Signal(syscall.SIGHUP) // the agent forwards it to the instance and keeps running
	for lines.Scan() && !strings.Contains(lines.Text(), "reload: discovery") {
	}
	runCommand("drain", "n0")
	for s := ""; !strings.Contains(s, "drained"); {
		s = runCommand("status")
	}
	command.Process.Signal(syscall.SIGTERM)
	for lines.Scan() {
	}
	if err := command.Wait(); err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", listen); err == nil {
		t.Error("the instance still listens after its agent has exited")
	}
}
