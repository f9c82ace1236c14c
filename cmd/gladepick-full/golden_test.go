package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/golden"
)

// TestGoldenPlan compares the answer to each question about the descriptions in deploy, as table and as JSON and for a
// fixed seed, with files under testdata.
func TestGoldenPlan(t *testing.T) {
	shortLoad := filepath.Join(t.TempDir(), "load.json")
	text, err := os.ReadFile("../../deploy/load.json")
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"seconds": 60`), []byte(`"seconds": 5`), 1)
	if err := os.WriteFile(shortLoad, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for name, args := range map[string][]string{
		"breaks": {"service >= 0.9 with zone montreal lost at 2 for 2", "--load", shortLoad, "--ask", "breaks", "--most", "8"},
		"needs":  {"service >= 0.9 and late(enrol) <= 20%", "--load", shortLoad, "--ask", "needs", "--most", "2"},
		"zones":  {"service >= 0.9", "--load", shortLoad, "--ask", "zones"},
	} {
		for _, format := range []string{"table", "json"} {
			var out bytes.Buffer
			err := run(append([]string{"plan", "--fleet", "../../deploy/fleet.json", "--days", "3", "--seed", "7", "--cores", "2", "-o", format}, args...), &out)
			if err != nil {
				t.Errorf("%s as %s: %v", name, format, err)
			}
			golden.AssertBytes(t, out.Bytes(), "plan-"+name+"."+map[string]string{"table": "txt", "json": "json"}[format])
		}
	}
	// The capture in testdata is too small to estimate all figures: one of them is NaN, which JSON cannot represent.
	var out bytes.Buffer
	err = run([]string{"plan", "--fleet", "../../deploy/fleet.json", "--load", shortLoad, "--capture", "../../internal/dispatcher/capture/testdata/capture",
		"--days", "3", "--seed", "7", "--cores", "2", "--ask", "breaks", "--most", "1", "service >= 0.9"}, &out)
	if err != nil {
		t.Error(err)
	}
	golden.AssertBytes(t, out.Bytes(), "plan-capture.txt")
}
