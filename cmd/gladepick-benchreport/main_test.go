package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const report = `{"G":0.5,"parts":[["whole day",1,0.5]],"prices":[],"classes":[],"windows":[{"name":"0","n":2,"worth":0.5}],"events":[]}`

func writeReport(t *testing.T, name string) string {
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(report), 0o600))
	return path
}

func TestOneDayHasNoMeans(t *testing.T) {
	var out bytes.Buffer
	parsed, err := parse([]string{"--json", writeReport(t, "quiet.json")})
	assert.NilError(t, err)
	assert.NilError(t, run(parsed, &out))
	var got summary
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got))
	assert.Equal(t, got.Days[0].Name, "quiet")
	assert.Equal(t, len(got.Means), 0)
}

func TestSeveralDaysHaveMeans(t *testing.T) {
	var out bytes.Buffer
	parsed, err := parse([]string{writeReport(t, "one.json"), writeReport(t, "other.json")})
	assert.NilError(t, err)
	assert.NilError(t, run(parsed, &out))
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("mean")))
}

func TestMissingReportIsNamed(t *testing.T) {
	_, err := parse([]string{"missing.json"})
	assert.ErrorContains(t, err, "missing.json")
}
