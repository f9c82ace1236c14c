package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gladepick/internal/network"
	"gladepick/internal/operatorcli"
	"gladepick/internal/settings"
	"gladepick/internal/systemnode"
	"gladepick/internal/vfs"
)

// process is a front or a store.
type process interface {
	Run(ctx context.Context) error
}

// processFlags are the flags of a command that runs a process.
type processFlags struct {
	settings *string
	verbose  *bool
}

func addProcessFlags(command *kingpin.CmdClause) processFlags {
	return processFlags{
		settings: command.Flag("settings", "Settings file of the process.").Default(settings.Path()).String(),
		verbose:  command.Flag("verbose", "Log details too.").Bool(),
	}
}

func (f processFlags) level() zapcore.Level { return logLevel(*f.verbose, zap.InfoLevel) }

func logLevel(verbose bool, otherwise zapcore.Level) zapcore.Level {
	if verbose {
		return zap.DebugLevel
	}
	return otherwise
}

// registerProcesses adds the commands that run a process and returns their names.
func registerProcesses(
	application *kingpin.Application, commands operatorcli.Commands, hangups <-chan os.Signal,
) map[string]bool {
	front := application.Command("front", "Run a front: clients' side and, with a disk, a control member.")
	frontFlags := addProcessFlags(front)
	commands[front.FullCommand()] = func(ctx context.Context) error {
		return runProcess(ctx, frontFlags, hangups, func(options systemnode.Options) (process, error) {
			return systemnode.NewFront(options)
		})
	}
	store := application.Command("store", "Run a store: keeps messages and delivers them.")
	storeFlags := addProcessFlags(store)
	commands[store.FullCommand()] = func(ctx context.Context) error {
		return runProcess(ctx, storeFlags, hangups, func(options systemnode.Options) (process, error) {
			return systemnode.NewStore(options)
		})
	}
	return map[string]bool{front.FullCommand(): true, store.FullCommand(): true}
}

// runProcess runs a process until the context ends.
func runProcess(
	ctx context.Context, flags processFlags, hangups <-chan os.Signal,
	make func(systemnode.Options) (process, error),
) error {
	file, err := systemnode.ReadSettings(*flags.settings)
	if err != nil {
		return err
	}
	logger, err := systemnode.NewLogger(file.Settings.Node, flags.level())
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }() // standard error can't always be synced
	options := systemnode.Options{
		Settings:     file.Settings,
		SettingsFile: file,
		Hangups:      hangups,
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
	started, err := make(options)
	if err != nil {
		return err
	}
	return started.Run(ctx)
}
