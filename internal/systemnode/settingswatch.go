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

// settingsTarget applies the settings that take effect while a process runs. Front and Store are such targets.
type settingsTarget interface {
	SetSeeds(seeds []string) error
	SetPlatformAddress(address string)
}

// settingsWatch reads the settings file again when it has changed, or upon SIGHUP. All of its methods run on the
// goroutine of run, so it needs no lock.
type settingsWatch struct {
	started  *settings.Settings // those of the start, which hold until the process ends
	current  *SettingsFile      // the newest file without findings
	lastInfo os.FileInfo        // of the file that was read last; nil after it could not be read
	missing  bool               // the file could not be looked at, which was logged
	target   settingsTarget
	logger   *zap.Logger
}

func newSettingsWatch(file *SettingsFile, target settingsTarget, logger *zap.Logger) *settingsWatch {
	return &settingsWatch{started: file.Settings, current: file, target: target, logger: logger}
}

// run watches until the context ends. The first look reads the file in any case, since it may have changed after
// the start.
func (w *settingsWatch) run(ctx context.Context, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			w.check(true)
		case <-ticker.C:
			w.check(false)
		}
	}
}

// check reads the file if it has changed, or always.
func (w *settingsWatch) check(always bool) {
	info, err := os.Stat(w.current.Path)
	if err != nil {
		w.noteMissing(err)
		return
	}
	w.missing = false
	if !always && w.lastInfo != nil && unchanged(w.lastInfo, info) {
		return
	}
	w.lastInfo = info
	w.reload()
}

// unchanged tells whether a file has the same time of change, size and identity as before. A tool may replace a
// file by another one of the same size and time, hence the identity.
func unchanged(before, after os.FileInfo) bool {
	sameContent := before.ModTime().Equal(after.ModTime()) && before.Size() == after.Size()
	return sameContent && os.SameFile(before, after)
}

// noteMissing logs, once, that the file can't be looked at.
func (w *settingsWatch) noteMissing(err error) {
	w.lastInfo = nil
	if w.missing {
		return
	}
	w.missing = true
	w.logger.Warn("settings not read", zap.Error(err))
}

// reload reads the file and applies it, unless something is wrong in it.
func (w *settingsWatch) reload() {
	next, err := ReadSettings(w.current.Path)
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

// apply passes on what takes effect at once. The seeds come first, since they can be refused, and then nothing is
// applied.
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

// logApplied logs which keys have taken effect, and which take effect at the next start.
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

// logRejected logs everything that is wrong in a file. The settings in force stay as they are.
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
