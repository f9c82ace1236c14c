package systemnode

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"gladepick/internal/network"
	"gladepick/internal/vfs"
)

// ProcessOptions say how to run a process on this machine.
type ProcessOptions struct {
	SettingsPath string
	LogLevel     zapcore.Level
	// Hangups delivers SIGHUP, upon which the settings file is read at once. It may be nil.
	Hangups <-chan os.Signal
}

// process is a front or a store.
type process interface {
	Run(ctx context.Context) error
}

// RunFront runs a front, on TCP and on the data directory of its settings, until the context ends.
func RunFront(ctx context.Context, options ProcessOptions) error {
	return runProcess(ctx, options, func(options Options) (process, error) { return NewFront(options) })
}

// RunStore runs a store, on TCP and on the data directory of its settings, until the context ends.
func RunStore(ctx context.Context, options ProcessOptions) error {
	return runProcess(ctx, options, func(options Options) (process, error) { return NewStore(options) })
}

// runProcess reads the settings, opens what they name, and runs a process. Besides what Run returns, its errors are
// settings.Findings where the settings file is faulty, and those of the logger, the data directory and newProcess.
func runProcess(
	ctx context.Context, processOptions ProcessOptions, newProcess func(Options) (process, error),
) error {
	file, err := ReadSettings(processOptions.SettingsPath)
	if err != nil {
		return err
	}
	logger, err := NewLogger(file.Settings.Node, processOptions.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }() // standard error can't always be synced
	options := Options{
		Settings:     file.Settings,
		SettingsFile: file,
		Hangups:      processOptions.Hangups,
		Network:      network.TCP{},
		Logger:       logger,
		Seed:         uint64(time.Now().UnixNano()),
	}
	reserveDiskThreads(file.Settings.DataDir != "")
	if file.Settings.DataDir != "" {
		if options.FS, err = vfs.OpenDirectory(file.Settings.DataDir); err != nil {
			return err
		}
	}
	started, err := newProcess(options)
	if err != nil {
		return err
	}
	return started.Run(ctx)
}
