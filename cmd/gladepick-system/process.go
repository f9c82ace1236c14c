package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gladepick/internal/operatorcli"
	"gladepick/internal/settings"
	"gladepick/internal/systemnode"
)

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

// options returns the options of the process. It must be called after the command line has been parsed.
func (f processFlags) options(reloadSignals <-chan os.Signal) systemnode.ProcessOptions {
	return systemnode.ProcessOptions{
		SettingsPath:  *f.settings,
		LogLevel:      logLevel(*f.verbose, zap.InfoLevel),
		ReloadSignals: reloadSignals,
	}
}

// logLevel returns the debug level if verbose is set, and defaultLevel otherwise.
func logLevel(verbose bool, defaultLevel zapcore.Level) zapcore.Level {
	if verbose {
		return zap.DebugLevel
	}
	return defaultLevel
}

// registerProcesses adds the commands front and store, which run a process, and returns the set of their names.
func registerProcesses(
	application *kingpin.Application, commands operatorcli.Commands, reloadSignals <-chan os.Signal,
) map[string]bool {
	front := application.Command("front", "Run a front: clients' side and, with a disk, a control member.")
	frontFlags := addProcessFlags(front)
	commands[front.FullCommand()] = func(ctx context.Context) error {
		return systemnode.RunFront(ctx, frontFlags.options(reloadSignals))
	}
	store := application.Command("store", "Run a store: keeps messages and delivers them.")
	storeFlags := addProcessFlags(store)
	commands[store.FullCommand()] = func(ctx context.Context) error {
		return systemnode.RunStore(ctx, storeFlags.options(reloadSignals))
	}
	return map[string]bool{front.FullCommand(): true, store.FullCommand(): true}
}
