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

// settingsTarget is what takes new settings over while the process runs.
type settingsTarget interface {
	SetSeeds(seeds []string) error
	SetCloudAddress(address string)
}

// settingsWatch reads the settings file again when it has changed or the process is told so.
type settingsWatch struct {
	started  *settings.Settings // those of the process's start, by which it goes on to run
	current  *SettingsFile      // the newest file that was sound
	lastInfo os.FileInfo        // of the file that was read last; nil where it could not be looked at
	missing  bool               // the file could not be looked at, and this was logged
	target   settingsTarget
	logger   *zap.Logger
}

func newSettingsWatch(file *SettingsFile, target settingsTarget, logger *zap.Logger) *settingsWatch {
	return &settingsWatch{started: file.Settings, current: file, target: target, logger: logger}
}

// run watches until the context ends. The file is read at the first look, since it may have changed after the start.
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

// look reads the file if it has changed, or in any case.
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

func unchanged(before, after os.FileInfo) bool {
	sameContent := before.ModTime().Equal(after.ModTime()) && before.Size() == after.Size()
	return sameContent && os.SameFile(before, after)
}

func (w *settingsWatch) noteMissing(err error) {
	w.lastInfo = nil
	if w.missing {
		return
	}
	w.missing = true
	w.logger.Warn("settings not read", zap.Error(err))
}

// read takes the file over, unless something is wrong in it.
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

// apply passes on what takes effect at once. The seeds come first, since they can be refused.
func (w *settingsWatch) apply(differing []string, next *SettingsFile) error {
	if slices.Contains(differing, keySeeds) {
		if err := w.target.SetSeeds(next.Settings.Seeds); err != nil {
			return err
		}
	}
	if slices.Contains(differing, keyCloudAddress) {
		w.target.SetCloudAddress(next.Settings.Cloud.Address)
	}
	return nil
}

func (w *settingsWatch) logApplied(differing []string) {
	var applied, held []string
	for _, key := range differing {
		if key == keySeeds || key == keyCloudAddress {
			applied = append(applied, key)
		} else {
			held = append(held, key)
		}
	}
	w.logger.Info("settings read again", zap.Strings("applied", applied), zap.Strings("at_next_start", held))
}

// logFaults logs everything that is wrong. The settings that hold stay as they are.
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
