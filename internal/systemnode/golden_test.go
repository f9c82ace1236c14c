package systemnode

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestSettingsLogLinesAreUnchanged compares the log lines about changes of the settings file byte by byte with those of
// earlier versions. Operators' alerts match these lines.
func TestSettingsLogLinesAreUnchanged(t *testing.T) {
	golden.NormalizeCRLFToLF = false
	changed := strings.NewReplacer("10.0.0.1:8002", "10.0.0.2:8002", "10.0.0.9:80", "10.0.0.8:80", "200", "300")
	steps := []struct {
		name    string
		text    string // contents of the file; empty if the step removes it
		refusal error  // with which the target rejects the seeds
	}{
		{name: "unchanged", text: sampleSettings},
		{name: "changed", text: changed.Replace(sampleSettings)},
		{name: "changed back", text: sampleSettings},
		{name: "key added", text: sampleSettings + "rate-per-s = 5.0\n"},
		{name: "faulty", text: "node = 3\nip = \"10.0.0.1\"\ninternal-ports = [1, 2]"},
		{name: "no TOML", text: "node = "},
		{name: "another machine's", text: strings.ReplaceAll(sampleSettings, "front-1", "front-2")},
		{name: "refused seeds", text: changed.Replace(sampleSettings), refusal: errors.New("no address")},
		{name: "missing"},
		{name: "back", text: sampleSettings},
	}
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		path := filepath.Join(t.TempDir(), "node.toml")
		assert.NilError(t, os.WriteFile(path, []byte(sampleSettings), 0o600))
		file, err := ReadSettings(path)
		assert.NilError(t, err)
		target := &fakeTarget{}
		reloadSignals := make(chan os.Signal)
		watch := newSettingsWatch(file, target, newTestLogger(&out))
		go watch.run(t.Context(), reloadSignals)
		for _, step := range steps {
			out.WriteString("# " + step.name + "\n")
			target.refusal = step.refusal
			if step.text == "" {
				assert.NilError(t, os.Remove(path))
			} else {
				assert.NilError(t, os.WriteFile(path, []byte(step.text), 0o600))
			}
			reloadSignals <- syscall.SIGHUP
			synctest.Wait()
		}
		golden.Assert(t, strings.ReplaceAll(out.String(), path, "FILE"), "settingslog.golden")
	})
}
