package systemnode

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/settings"
)

// settingsTarget applies the settings that take effect while a process runs. Front and Store implement it.
type settingsTarget interface {
	SetSeeds(seeds []string) error
	SetPlatformAddress(address string)
}

// settingsWatch reads the settings file again when the file has changed or when the process receives SIGHUP. All its
// methods run on the goroutine of run, so it needs no lock.
type settingsWatch struct {
	started  *settings.Settings // the settings with which the process was started
	current  *SettingsFile      // the newest file that was accepted
	lastInfo os.FileInfo        // of the last check; nil before the first one and after a failed one
	missing  bool               // the last check failed, and the failure was logged
	target   settingsTarget
	logger   *zap.Logger
	read     func(path string) (*SettingsFile, error) // ReadSettings, except in tests
}

func newSettingsWatch(file *SettingsFile, target settingsTarget, logger *zap.Logger) *settingsWatch {
	return &settingsWatch{started: file.Settings, current: file, target: target, logger: logger, read: ReadSettings}
}

// run checks the file until the context ends. The first check always reads the file, because it may have changed
// between the start of the process and the check.
func (w *settingsWatch) run(ctx context.Context, reloadSignals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			w.check(true)
		case <-ticker.C:
			w.check(false)
		}
	}
}

// check reads the file if it has changed since the last check, or in any case if force is set.
func (w *settingsWatch) check(force bool) {
	info, err := os.Stat(w.current.Path)
	if err != nil {
		w.logMissing(err)
		return
	}
	if !force && w.lastInfo != nil && unchanged(w.lastInfo, info) {
		return
	}
	w.lastInfo = info
	w.reload()
}

// unchanged reports whether a file has the same modification time, size and identity as before. The identity is
// compared because a tool may replace the file by another one of the same size and modification time.
func unchanged(before, after os.FileInfo) bool {
	sameContent := before.ModTime().Equal(after.ModTime()) && before.Size() == after.Size()
	return sameContent && os.SameFile(before, after)
}

// logMissing logs that the file can't be checked or read. It logs once until a check succeeds again.
func (w *settingsWatch) logMissing(err error) {
	w.lastInfo = nil
	if w.missing {
		return
	}
	w.missing = true
	w.logger.Warn("settings not read", zap.Error(err))
}

// reload reads the file and applies it. If the file is invalid or belongs to another machine, reload logs that and
// applies nothing. A file that could not be read is read again at the next check.
func (w *settingsWatch) reload() {
	next, err := w.read(w.current.Path)
	if err != nil && !errors.As(err, new(settings.Findings)) {
		w.logMissing(err)
		return
	}
	w.missing = false
	if err == nil {
		err = checkSameMachine(w.started, next)
	}
	if err != nil {
		w.logRejected(err)
		return
	}
	differing := differingKeys(w.current, next)
	if len(differing) == 0 {
		return
	}
	if err := w.apply(differing, next); err != nil {
		w.logRejected(err)
		return
	}
	w.current = next
	w.logApplied(differing)
}

// apply passes the settings that take effect at once to the target. The target may reject the seeds, so they are
// passed first: if they are rejected, nothing is applied.
func (w *settingsWatch) apply(differing []string, next *SettingsFile) error {
	if slices.Contains(differing, keySeeds) {
		if err := w.target.SetSeeds(next.Settings.Seeds); err != nil {
			return err
		}
	}
	if slices.Contains(differing, keyCloudAddress) {
		w.target.SetPlatformAddress(next.Settings.Cloud.Address)
	}
	return nil
}

// logApplied logs which of the changed keys have taken effect, and which take effect at the next start.
func (w *settingsWatch) logApplied(differing []string) {
	var applied, atNextStart []string
	for _, key := range differing {
		if key == keySeeds || key == keyCloudAddress {
			applied = append(applied, key)
		} else {
			atNextStart = append(atNextStart, key)
		}
	}
	w.logger.Info("settings read again", zap.Strings("applied", applied), zap.Strings("at_next_start", atNextStart))
}

// logRejected logs why a file was rejected, with all findings if there are any.
func (w *settingsWatch) logRejected(err error) {
	var found settings.Findings
	if !errors.As(err, &found) {
		w.logger.Error("settings refused", zap.Error(err))
		return
	}
	texts := make([]string, len(found))
	for i, finding := range found {
		texts[i] = finding.String()
	}
	w.logger.Error("settings refused", zap.Strings("findings", texts))
}
