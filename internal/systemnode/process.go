package systemnode

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"gladepick/internal/network"
	"gladepick/internal/vfs"
)

// ProcessOptions configure RunFront and RunStore.
type ProcessOptions struct {
	SettingsPath string
	LogLevel     zapcore.Level
	// ReloadSignals delivers SIGHUP, which makes the process read its settings file at once. It may be nil.
	ReloadSignals <-chan os.Signal
}

// process is a Front or a Store.
type process interface {
	Run(ctx context.Context) error
}

// RunFront runs a front until the context ends. The front uses TCP and the data directory of its settings.
func RunFront(ctx context.Context, options ProcessOptions) error {
	return runProcess(ctx, options, func(options Options) (process, error) { return NewFront(options) })
}

// RunStore runs a store until the context ends. The store uses TCP and the data directory of its settings.
func RunStore(ctx context.Context, options ProcessOptions) error {
	return runProcess(ctx, options, func(options Options) (process, error) { return NewStore(options) })
}

// runProcess reads the settings, opens the logger and the data directory, and runs a process. If the settings file is
// invalid, the error is a settings.Findings. Errors of the logger, the data directory, newProcess and Run are returned
// unchanged.
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
		Settings:      file.Settings,
		SettingsFile:  file,
		ReloadSignals: processOptions.ReloadSignals,
		Network:       network.TCP{},
		Logger:        logger,
		Seed:          uint64(time.Now().UnixNano()),
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
