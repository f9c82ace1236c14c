package systemnode

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

const sampleSettings = `
node = "front-1"
ip = "10.0.0.1"
zone = "a"
internal-ports = [7000, 7009]
seeds = ["10.0.0.1:8002"]

[limits]
memory-mb = 200

[cloud]
address = "10.0.0.9:80"
`

// fakeTarget is a settingsTarget that records its calls. If refusal is set, SetSeeds returns it.
type fakeTarget struct {
	seeds     [][]string
	platforms []string
	refusal   error
}

func (f *fakeTarget) SetSeeds(seeds []string) error {
	if f.refusal != nil {
		return f.refusal
	}
	f.seeds = append(f.seeds, seeds)
	return nil
}

func (f *fakeTarget) SetPlatformAddress(address string) { f.platforms = append(f.platforms, address) }

// watchedFile is a settings file with a running settingsWatch, in a synctest bubble.
type watchedFile struct {
	path   string
	target *fakeTarget
	logs   *observer.ObservedLogs
	reload chan os.Signal
}

// watchSample writes sampleSettings to a file and starts a settingsWatch on it.
func watchSample(t *testing.T) *watchedFile {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	w := &watchedFile{
		path:   filepath.Join(t.TempDir(), "node.toml"),
		target: &fakeTarget{},
		logs:   logs,
		reload: make(chan os.Signal, 1),
	}
	w.write(t, sampleSettings)
	file, err := ReadSettings(w.path)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	watch := newSettingsWatch(file, w.target, zap.New(core))
	go watch.run(ctx, w.reload)
	return w
}

// write replaces the file by renaming another one, as operators' tools do.
func (w *watchedFile) write(t *testing.T, text string) {
	t.Helper()
	next := w.path + ".next"
	assert.NilError(t, os.WriteFile(next, []byte(text), 0o600))
	assert.NilError(t, os.Rename(next, w.path))
}

// awaitCheck waits until the watch has checked the file.
func (w *watchedFile) awaitCheck() {
	time.Sleep(settingsPollInterval)
	synctest.Wait()
}

func TestUnchangedSettingsAreNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchSample(t)
		w.awaitCheck()
		w.reload <- syscall.SIGHUP
		w.awaitCheck()
		assert.Equal(t, len(w.target.seeds)+len(w.target.platforms), 0)
		assert.Equal(t, w.logs.Len(), 0)
	})
}

func TestChangedSettingsAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchSample(t)
		w.awaitCheck()
		text := strings.ReplaceAll(sampleSettings, "10.0.0.1:8002", "10.0.0.2:8002")
		text = strings.ReplaceAll(text, "10.0.0.9:80", "10.0.0.8:80")
		w.write(t, strings.ReplaceAll(text, "200", "300"))
		w.awaitCheck()
		assert.DeepEqual(t, w.target.seeds, [][]string{{"10.0.0.2:8002"}})
		assert.DeepEqual(t, w.target.platforms, []string{"10.0.0.8:80"})
		logged := w.logs.AllUntimed()
		assert.Equal(t, len(logged), 1)
		assert.Equal(t, logged[0].Message, "settings read again")
		assert.DeepEqual(t, logged[0].ContextMap(), map[string]any{
			"applied":       []any{"cloud.address", "seeds"},
			"at_next_start": []any{"limits.memory-mb"},
		})
	})
}

func TestSIGHUPAppliesSettingsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchSample(t)
		w.write(t, strings.ReplaceAll(sampleSettings, "10.0.0.9:80", "10.0.0.8:80"))
		w.reload <- syscall.SIGHUP
		synctest.Wait()
		assert.DeepEqual(t, w.target.platforms, []string{"10.0.0.8:80"})
	})
}

func TestInvalidSettingsAreNotApplied(t *testing.T) {
	cases := []struct {
		name, text string
		findings   []any
	}{
		{"faults", "node = 3\nip = \"10.0.0.1\"\ninternal-ports = [1, 2]", []any{
			"node: must be a string, is 3", "node: missing", "zone: missing",
		}},
		{"another machine's", strings.ReplaceAll(sampleSettings, "front-1", "front-2"), []any{
			`node: is "front-2", but the process was started as "front-1"`,
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := watchSample(t)
				w.awaitCheck()
				w.write(t, test.text)
				w.awaitCheck()
				w.awaitCheck()
				assert.Equal(t, len(w.target.seeds)+len(w.target.platforms), 0)
				logged := w.logs.AllUntimed()
				assert.Equal(t, len(logged), 1)
				assert.Equal(t, logged[0].Message, "settings refused")
				findings := logged[0].ContextMap()["findings"].([]any)
				for i := range findings {
					findings[i] = strings.TrimPrefix(findings[i].(string), w.path+": ")
				}
				assert.DeepEqual(t, findings, test.findings)
			})
		})
	}
}

func TestHalfWrittenSettingsAreAppliedOnceComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchSample(t)
		next := strings.ReplaceAll(sampleSettings, "10.0.0.9:80", "10.0.0.8:80")
		w.write(t, next[:len(next)-4])
		w.awaitCheck()
		assert.Equal(t, len(w.target.platforms), 0)
		w.write(t, next)
		w.awaitCheck()
		assert.DeepEqual(t, w.target.platforms, []string{"10.0.0.8:80"})
	})
}

func TestRejectedSeedsPreventOtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchSample(t)
		w.target.refusal = errors.New(`seed "nowhere" is not an address`)
		text := strings.ReplaceAll(sampleSettings, "10.0.0.1:8002", "nowhere")
		w.write(t, strings.ReplaceAll(text, "10.0.0.9:80", "10.0.0.8:80"))
		w.awaitCheck()
		assert.Equal(t, len(w.target.platforms), 0)
		assert.Equal(t, w.logs.FilterMessage("settings refused").Len(), 1)
	})
}

func TestMissingSettingsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := watchSample(t)
		assert.NilError(t, os.Remove(w.path))
		w.awaitCheck()
		w.awaitCheck()
		assert.Equal(t, w.logs.FilterMessage("settings not read").Len(), 1)
		w.write(t, strings.ReplaceAll(sampleSettings, "10.0.0.9:80", "10.0.0.8:80"))
		w.awaitCheck()
		assert.DeepEqual(t, w.target.platforms, []string{"10.0.0.8:80"})
	})
}

// TestSettingsThatCouldNotBeReadAreReadAgain guards against a change that waits for the next one, because the read after it
// failed although the check of the file had succeeded.
func TestSettingsThatCouldNotBeReadAreReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, []byte(sampleSettings), 0o600))
	started, err := ReadSettings(path)
	assert.NilError(t, err)
	core, logs := observer.New(zapcore.InfoLevel)
	target := &fakeTarget{}
	watch := newSettingsWatch(started, target, zap.New(core))
	assert.NilError(t, os.WriteFile(path, []byte(strings.ReplaceAll(sampleSettings, "10.0.0.9:80", "10.0.0.8:80")), 0o600))
	watch.read = func(string) (*SettingsFile, error) {
		return nil, &os.PathError{Op: "open", Path: path, Err: syscall.EMFILE}
	}
	watch.check(false)
	watch.check(false)
	assert.Equal(t, logs.FilterMessage("settings not read").Len(), 1)
	watch.read = ReadSettings
	watch.check(false)
	assert.DeepEqual(t, target.platforms, []string{"10.0.0.8:80"})
}
