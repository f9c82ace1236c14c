package main

import (
	"bytes"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestGoldenOutput compares the program's output byte by byte with files under testdata. Other programs parse that
// output, so the files were written with -update once and must not change.
func TestGoldenOutput(t *testing.T) {
	calm, rough := filepath.Join("testdata", "calm.json"), filepath.Join("testdata", "rough.json")
	for _, test := range []struct {
		file string
		args []string
	}{
		{"one-day.txt", []string{calm}},
		{"one-day-json.txt", []string{"--json", calm}},
		{"several-days.txt", []string{"--spans", "2", calm, rough}},
		{"several-days-json.txt", []string{"--json", "--spans=1", rough, calm}},
		{"no-spans.txt", []string{"--spans", "0", rough}},
	} {
		t.Run(test.file, func(t *testing.T) {
			parsed, err := parse(test.args)
			assert.NilError(t, err)
			var out bytes.Buffer
			assert.NilError(t, run(parsed, &out))
			golden.AssertBytes(t, out.Bytes(), test.file)
		})
	}
}
